/**
 * Reconciles the endpoints of the data centre with the configuration: their role and the models
 * they have loaded. An order names the wanted state and carries the fencing token; whether it took
 * effect is read from the endpoint's report.
 */
import * as E from "fp-ts/Either";
import type { Blackboard, EndpointView } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { type Endpoint, Role } from "../core/config/objects";
import { isEvacuated } from "../core/config/evacuations";
import type { Logger } from "../core/log";
import { PeriodicTask, runTask } from "../core/tasks";
import type { EngineClient } from "../endpoint/engine";
import { isEndpointLeaving } from "./listpoller";
import type { InstanceIdentity } from "./membership";
import { LEASE_MARGIN_MS, CONTROLLER_LEASE_MS, type DutyElector } from "./elector";

const CHECK_INTERVAL_MS = 500;
/** How long an order can be in flight at most. */
const MAX_ORDER_DURATION_MS = 2000;
/** How long to wait before an order to the same endpoint is sent again. */
const ORDER_RETRY_DELAY_MS = 3000;

/** Sends orders while this instance has the controller's lease. */
export class EndpointController {
  private readonly task: PeriodicTask;
  private readonly retryOrderAt = new Map<string, Moment>();
  /**
   * The uninterrupted period with a fencing token: when it began, and when a token was last read.
   */
  private continuousLease: { usableFrom: Moment; lastFenceAt: Moment } | undefined;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly dutyElector: DutyElector,
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.task = new PeriodicTask("check endpoints", CHECK_INTERVAL_MS, logger, () => {
      this.check();
    });
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  private check(): void {
    const fence = this.dutyElector.readFencingToken();
    const now = this.clock.now();
    if (fence === undefined) {
      this.continuousLease = undefined;
      return;
    }
    this.continuousLease = {
      usableFrom: this.continuousLease?.usableFrom ?? now,
      lastFenceAt: now,
    };
    const { configuration } = this.board.config.read();
    if (isEvacuated(configuration, this.self.dataCentre)) return;
    const { endpoints } = configuration;
    for (const [name, endpoint] of Object.entries(endpoints)) {
      if (endpoint.dataCentre !== this.self.dataCentre || endpoint.role === Role.service) continue;
      const view = this.board.endpoints.get(name);
      if (view === undefined || isEndpointLeaving(this.board, name, now)) continue;
      if (isInWantedState(endpoint, view)) continue;
      void runTask("send an order", this.logger, () => this.sendOrder(name, endpoint));
    }
  }

  private async sendOrder(name: string, endpoint: Endpoint): Promise<void> {
    const now = this.clock.now();
    if (now < (this.retryOrderAt.get(name) ?? 0) || !this.isSafeToOrder(endpoint, now)) return;
    this.retryOrderAt.set(name, now + ORDER_RETRY_DELAY_MS);
    // Read in the same event-loop turn as the send: after a pause of the process the lease has
    // expired and there is no token to send with.
    const fence = this.dutyElector.readFencingToken();
    if (fence === undefined) return;
    const models = endpoint.models ?? [];
    const result = await this.engines.sendOrder(endpoint.url, {
      fence,
      role: endpoint.role,
      models,
    })();
    const outcome = E.isRight(result) ? "taken" : result.left.message;
    this.logger.info("order", { endpoint: name, role: endpoint.role, models, fence, outcome });
  }

  /**
   * Checks whether an endpoint may be sent an order. One that does not check fencing tokens gets
   * orders only once no order of the previous controller can still be in flight.
   */
  private isSafeToOrder(endpoint: Endpoint, now: Moment): boolean {
    if (endpoint.checksFence === true) return true;
    const minLeaseMs = CONTROLLER_LEASE_MS + LEASE_MARGIN_MS + MAX_ORDER_DURATION_MS;
    return (
      this.continuousLease !== undefined && now - this.continuousLease.usableFrom >= minLeaseMs
    );
  }
}

function isInWantedState(endpoint: Endpoint, view: EndpointView): boolean {
  if (view.role !== endpoint.role) return false;
  return (endpoint.models ?? []).every((model) => view.models.includes(model));
}
