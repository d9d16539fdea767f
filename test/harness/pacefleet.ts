/**
 * Instances in virtual time that send callers' requests to modelled endpoints, of which some start slow. Choices are
 * made by own load, as the instances' balancer does; permits by the real owners' decisions.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { SILENT_LOGGER } from "../../src/core/log";
import { OwnerChooser } from "../../src/fleet/owners";
import { LimitAccounts } from "../../src/forward/limits/accounts";
import { ColdEndpoints } from "../../src/forward/limits/cold";
import { EndpointLimits } from "../../src/forward/limits/limits";
import { PaceAccounts } from "../../src/forward/limits/paceaccounts";
import { Pacing, SendEnding } from "../../src/forward/limits/pacing";
import { answerPermit, Permits } from "../../src/forward/limits/permits";
import { LimitSources } from "../../src/forward/limits/sources";
import { encodePermitAsk } from "../../src/forward/limits/wire";
import { PermitRequest } from "../../src/peer/gen/fleet";
import { EventQueue } from "./events";

const SERVICE_MS = 45;
const TARGET_MS = 500;
const MAX_DELAY_MS = 3;
const REPORT_DELAY_MS = 50;
const MAX_ATTEMPTS = 2;

interface ModelEndpoint {
  readonly id: string;
  processStartedAt: number;
  slowUntil: number;
  slowness: number;
  running: number;
  readonly waiting: (() => void)[];
}

interface ModelInstance {
  readonly name: string;
  readonly sources: LimitSources;
  readonly accounts: LimitAccounts;
  readonly paceAccounts: PaceAccounts;
  readonly permits: Permits;
  readonly inFlight: Map<string, number>;
}

/** What callers got. */
export interface CallerResults {
  onTime: number;
  late: number;
  refused: number;
}

/** Options of a fleet. */
export interface PaceFleetOptions {
  readonly isPaced: boolean;
  readonly instances: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly seed: number;
}

/** A simulated fleet. */
export class PaceFleet {
  readonly events = new EventQueue(1000);
  results: CallerResults = { onTime: 0, late: 0, refused: 0 };
  /** When the owner of an endpoint's limit found it on a par. */
  readonly parAt = new Map<string, number>();
  /** Requests that endpoints got, by id. */
  readonly arrivals = new Map<string, number>();
  private readonly endpoints: readonly ModelEndpoint[];
  private readonly instances: readonly ModelInstance[];
  private readonly random: () => number;
  /** Draws for callers, which are the same whatever happens to their requests. */
  private readonly drawForCallers: () => number;

  constructor(private readonly options: PaceFleetOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    const callers = xoroshiro128plus(options.seed + 1);
    this.drawForCallers = () => uniformFloat64(callers);
    this.endpoints = Array.from({ length: options.endpoints }, (_, index) => ({
      id: `e${index}`,
      processStartedAt: 1,
      slowUntil: 0,
      slowness: 1,
      running: 0,
      waiting: [],
    }));
    const names = Array.from({ length: options.instances }, (_, index) => `n${index}`);
    this.instances = names.map((name) => this.createInstance(name, names));
  }

  get now(): number {
    return this.events.clock.now();
  }

  /** Restarts an endpoint, which is slower by a factor for a time. */
  restart(index: number, slowness: number, slowMs: number): void {
    const endpoint = this.endpoints[index];
    if (endpoint === undefined) return;
    endpoint.processStartedAt += 1;
    endpoint.slowness = slowness;
    endpoint.slowUntil = this.now + slowMs;
  }

  /** Has callers send requests at a rate up to a moment. */
  startTraffic(perSecond: number, end: number): void {
    const sendNext = () => {
      if (this.now > end) return;
      const drawn = Math.floor(this.drawForCallers() * this.instances.length);
      const instance = this.instances[drawn];
      if (instance !== undefined) void this.serve(instance);
      this.events.schedule((-Math.log(1 - this.drawForCallers()) * 1000) / perSecond, sendNext);
    };
    this.events.schedule(0, sendNext);
  }

  private async serve(instance: ModelInstance): Promise<void> {
    const arrivedAt = this.now;
    const excluded = new Set<string>();
    let attempts = 0;
    for (;;) {
      const endpoint = this.choose(instance, excluded);
      if (endpoint === undefined || attempts === MAX_ATTEMPTS) break;
      excluded.add(endpoint.id);
      const target = { id: endpoint.id, processStartedAt: endpoint.processStartedAt };
      if (instance.permits.isLimited(target) && !(await instance.permits.acquire(target, 1))) {
        continue;
      }
      attempts += 1;
      if (!(await this.send(instance, endpoint))) continue;
      if (this.now - arrivedAt <= TARGET_MS) this.results.onTime += 1;
      else this.results.late += 1;
      return;
    }
    this.results.refused += 1;
  }

  private choose(
    { inFlight, permits }: ModelInstance,
    excluded: ReadonlySet<string>,
  ): ModelEndpoint | undefined {
    let best: ModelEndpoint | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const endpoint of this.endpoints) {
      if (excluded.has(endpoint.id) || permits.readDenialEnd(endpoint.id) !== undefined) continue;
      const load = (inFlight.get(endpoint.id) ?? 0) / this.options.slots + this.random() * 0.08;
      if (load >= least) continue;
      least = load;
      best = endpoint;
    }
    return best;
  }

  /** Sends a request; resolves with false if the endpoint rejects it. */
  private async send(instance: ModelInstance, endpoint: ModelEndpoint): Promise<boolean> {
    const { id, processStartedAt } = endpoint;
    const sentAt = this.now;
    instance.inFlight.set(id, (instance.inFlight.get(id) ?? 0) + 1);
    const isRun = await this.run(endpoint);
    instance.inFlight.set(id, (instance.inFlight.get(id) ?? 0) - 1);
    const ending = isRun ? SendEnding.answered : SendEnding.rejected;
    const kind = { service: "sheets", kind: "run lookups", size: 1 };
    const tookMs = this.now - sentAt;
    instance.sources.pacing?.record({ endpoint: id, processStartedAt, ...kind, ending, tookMs });
    return isRun;
  }

  private run(endpoint: ModelEndpoint): Promise<boolean> {
    this.arrivals.set(endpoint.id, (this.arrivals.get(endpoint.id) ?? 0) + 1);
    const { slots } = this.options;
    if (endpoint.waiting.length >= 2 * slots) {
      return new Promise((resolve) => {
        this.events.schedule(MAX_DELAY_MS, () => {
          resolve(false);
        });
      });
    }
    return new Promise((resolve) => {
      const begin = () => {
        endpoint.running += 1;
        const slowness = this.now < endpoint.slowUntil ? endpoint.slowness : 1;
        const ms = SERVICE_MS * slowness * (0.6 + this.random() * 0.8);
        this.events.schedule(ms, () => {
          endpoint.running -= 1;
          endpoint.waiting.shift()?.();
          resolve(true);
        });
      };
      if (endpoint.running < slots) begin();
      else endpoint.waiting.push(begin);
    });
  }

  private createInstance(name: string, names: readonly string[]): ModelInstance {
    const { clock } = this.events;
    let isReporting = false;
    const pacing = new Pacing({
      clock,
      logger: SILENT_LOGGER,
      onBegin: () => undefined,
      onOutcome: () => {
        if (isReporting) return;
        isReporting = true;
        this.events.schedule(REPORT_DELAY_MS, () => {
          isReporting = false;
          void permits.flushOutcomes();
        });
      },
    });
    const cold = new ColdEndpoints({
      directory: { findCold: () => undefined },
      findLimit: () => undefined,
      tolerance: { ratio: 1.5, slack: 5 },
    });
    const limits = new EndpointLimits();
    const sources = new LimitSources(limits, cold, this.options.isPaced ? pacing : undefined);
    const accounts = new LimitAccounts(() => ({ heard: names.length, missing: 0 }));
    const paceAccounts = new PaceAccounts(
      () => this.options.slots,
      (endpoint, _window, cause) => {
        if (cause === "on a par" && !this.parAt.has(endpoint)) this.parAt.set(endpoint, this.now);
      },
    );
    const permits: Permits = new Permits({
      instance: name,
      sources,
      accounts,
      paceAccounts,
      owners: new OwnerChooser(name, () => names, clock),
      transport: {
        request: (owner, ask) => {
          const bytes = PermitRequest.encode(encodePermitAsk(ask, this.now)).finish();
          return this.askOwner(owner, PermitRequest.decode(bytes));
        },
      },
      clock,
      logger: SILENT_LOGGER,
      onDecision: () => undefined,
    });
    for (const { id } of this.endpoints) {
      pacing.observe({ endpoint: id, processStartedAt: 1 }, this.now);
    }
    return { name, sources, accounts, paceAccounts, permits, inFlight: new Map() };
  }

  private askOwner(name: string, request: PermitRequest) {
    return new Promise<{ isGranted: boolean; retryAfterMs: number; isPaceOver: boolean }>(
      (resolve) => {
        this.events.schedule(this.random() * MAX_DELAY_MS, () => {
          const owner = this.instances.find((instance) => instance.name === name);
          if (owner === undefined) throw new Error(`no instance ${name}`);
          const reply = answerPermit(owner.sources, owner, request, this.now);
          const { granted, retryAfterMs, paceOver } = reply;
          this.events.schedule(this.random() * MAX_DELAY_MS, () => {
            resolve({ isGranted: granted, retryAfterMs, isPaceOver: paceOver });
          });
        });
      },
    );
  }
}
