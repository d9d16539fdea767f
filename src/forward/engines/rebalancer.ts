/**
 * Orders engines to change between the prefill and the decode stage as the load requires. One
 * instance, chosen by rendezvous hashing, does this at a time; if instances disagree on which, a
 * lease in the store's log decides.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import { chooseByRendezvousHash } from "../../core/rendezvous";
import { PeriodicTask, runTask } from "../../core/tasks";
import type { FleetService } from "../../fleet/config";
import { EngineStage } from "../../fleet/entries";
import type { OrderLeases } from "../../fleet/orders";
import type { EndpointClient } from "../endpoints";
import type { EndpointGate } from "../limits";
import { type EndpointCodec, OrderResult } from "../requests";
import { chooseStageChange, type StageChange, type StageLoad } from "./stages";

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/**
 * How long a change must be called for before it is ordered, by the new stage, in milliseconds.
 * Engines that only seem lost, behind a network partition, return within some seconds.
 */
const CONFIRMATION_MS = { decode: 1500, prefill: 5000 } as const;
/**
 * Pause after an order, in milliseconds, in addition to the time that the engine takes to change
 * its stage.
 */
const SETTLE_PAUSE_MS = 2000;
/** Timeout of the call that sends an order, in milliseconds. */
const ORDER_TIMEOUT_MS = 700;

/** Dependencies of the rebalancer. */
export interface StageRebalancerParts {
  readonly instance: string;
  readonly leases: OrderLeases;
  readonly client: EndpointClient;
  readonly gate: EndpointGate;
  readonly codec: EndpointCodec;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lists the live instances, including this one. */
  readonly listLive: () => readonly string[];
  readonly listServices: () => readonly FleetService[];
  readonly readStageLoad: (service: string) => StageLoad;
  /** Reads the list of engines again; false if the store can't be read. */
  readonly confirmList: () => Promise<boolean>;
  /** Called after an order, with the deadline until which its engine accepts no requests. */
  readonly onOrder: (engine: string, deadline: Moment) => void;
}

/** Rebalances the stages of engines. */
export class StageRebalancer {
  private readonly task: PeriodicTask;
  private readonly wantedSince = new Map<string, Moment>();
  private nextOrderAt: Moment = 0;
  private isChecking = false;

  constructor(private readonly parts: StageRebalancerParts) {
    this.task = new PeriodicTask("check stages", CHECK_INTERVAL_MS, parts.logger, () =>
      this.checkStages(),
    );
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  /** Checks once whether a change is called for, and orders it if this instance is responsible. */
  async checkStages(): Promise<void> {
    const { instance, listLive, listServices, clock } = this.parts;
    if (this.isChecking) return;
    if (chooseByRendezvousHash("stages", [...listLive()].sort()) !== instance) {
      this.wantedSince.clear();
      return;
    }
    if (clock.now() < this.nextOrderAt) return;
    this.isChecking = true;
    await runTask("rebalance", this.parts.logger, () => this.rebalanceAll(listServices()));
    this.isChecking = false;
  }

  private async rebalanceAll(services: readonly FleetService[]): Promise<void> {
    for (const service of services) {
      if (service.engine !== undefined) await this.rebalance(service, service.engine.stageChangeMs);
    }
  }

  private async rebalance(service: FleetService, stageChangeMs: number): Promise<void> {
    const { clock } = this.parts;
    const change = chooseStageChange(this.parts.readStageLoad(service.name));
    if (change === undefined) {
      this.wantedSince.delete(service.name);
      return;
    }
    const now = clock.now();
    const since = this.wantedSince.get(service.name) ?? now;
    this.wantedSince.set(service.name, since);
    if (now - since < CONFIRMATION_MS[change.stage]) return;
    if (!(await this.canOrder(service, change))) return;
    this.wantedSince.delete(service.name);
    if (await this.sendOrder(change)) {
      this.nextOrderAt = clock.now() + stageChangeMs + SETTLE_PAUSE_MS;
      this.parts.onOrder(change.engine.id, clock.now() + stageChangeMs);
    }
  }

  /**
   * Checks by the list of now whether an engine may be ordered to stop decoding: a copy may still have
   * another decode engine of its version. A change that is called for no more begins anew; where the list
   * can't be read, the next check tries again.
   */
  private async canOrder({ name }: FleetService, change: StageChange): Promise<boolean> {
    const { confirmList, readStageLoad, logger } = this.parts;
    const { engine, stage } = change;
    if (stage === EngineStage.decode) return true;
    const isRead = await confirmList();
    const wanted = isRead ? chooseStageChange(readStageLoad(name)) : undefined;
    if (wanted?.engine.id === engine.id && wanted.stage === stage) return true;
    if (isRead) this.wantedSince.delete(name);
    logger.info("order not confirmed", { engine: engine.id, stage, isRead });
    return false;
  }

  /** Sends an order under a lease; returns true if it was sent, whatever its result. */
  private async sendOrder(change: StageChange): Promise<boolean> {
    const { leases, client, gate, codec, logger, instance } = this.parts;
    const { engine, stage, reason } = change;
    if (gate.isHeldBack(engine.id)) return false;
    const lease = await leases.acquire({ engine: engine.id, stage });
    if (lease === undefined) return false;
    if (!lease.isFresh()) {
      logger.warn("order dropped", { engine: engine.id, stage, fence: lease.fence });
      return false;
    }
    const { fence } = lease;
    // The holder that the order names sends it itself.
    const call = {
      ...codec.createStageCall(engine, { stage, holder: instance, fence }),
      isDirectOnly: true,
    };
    const response = await client.call(engine, call, ORDER_TIMEOUT_MS);
    const result = E.isRight(response)
      ? codec.readOrderResult(response.right.status)
      : OrderResult.refused;
    const error = E.isLeft(response) ? response.left.message : "";
    logger.info("order", { engine: engine.id, stage, fence, reason, result, error });
    return true;
  }
}
