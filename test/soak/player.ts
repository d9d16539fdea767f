/**
 * Plays the schedule of a soak on its fleet, and records when each fault actually began and ended.
 */
import { connect } from "node:net";
import { pause } from "../../src/core/clock";
import { CutMode } from "../harness/cutproxy";
import { CHANGES, createSoakConfig } from "./changes";
import { type Fault, FaultKind, type InstancePort, StoreFailure } from "./faults";
import type { SoakCallers } from "./callers";
import type { SoakEndpoint } from "./endpoint";
import { DeathBy, type EngineDeath, readDeath } from "./deaths";
import type { SoakFleet } from "./fleet";
import type { SoakInstance } from "./instance";
import type { SilentStage } from "./schedule";

/** Delay of each direction of a way that is delayed, in milliseconds. */
const WAY_DELAY_MS = 100;
/** How much later a slow store answers, in milliseconds. */
const STORE_DELAY_MS = 700;
/** Number of the newest records of each feed that a restored store has lost. */
const LOST_RECORDS = 2;

/** The start of a request, with bytes that no parser takes. */
const MALFORMED = "GET / HTTP/1.1\r\nx-id: \u0000\r\n: \r\nPRI * HTTP/2.0\r\n\r\n\uffff";
/** How long a connection with malformed bytes is kept, in milliseconds. */
const MALFORMED_MS = 100;

/** Plays faults; each is told how long it lasts. */
export class FaultPlayer {
  /** The faults that have ended, with their actual times. */
  readonly played: Fault[] = [];
  private version = 1;
  /** The restarts under way, by instance. */
  private readonly restarts = new Map<string, Promise<void>>();
  /** The ends and starts of processes of endpoints under way, by endpoint. */
  private readonly deaths = new Map<string, Promise<void>>();

  /** @param startedAt - when the traffic starts, on the monotonic clock */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly callers: SoakCallers,
    private readonly startedAt: number,
  ) {}

  /** Plays a schedule; resolves once all faults have ended and the first configuration is back. */
  async run(schedule: readonly Fault[]): Promise<void> {
    await Promise.all(schedule.map((fault) => this.runFault(fault)));
    this.publish({});
  }

  private async runFault(fault: Fault): Promise<void> {
    await pause(this.startedAt + fault.at - performance.now());
    const at = this.readTime();
    await this.act(fault, pause(Math.max(0, this.startedAt + fault.until - performance.now())));
    this.played.push({ ...fault, at, until: this.readTime() });
  }

  private act(fault: Fault, ending: Promise<void>): Promise<void> {
    const { kind, instances, endpoints, manner } = fault;
    const [instance = ""] = instances;
    const [endpoint = ""] = endpoints;
    switch (kind) {
      case FaultKind.cut:
        return this.cut(instances, manner as CutMode, ending);
      case FaultKind.delay:
        return this.delay(instances, ending);
      case FaultKind.terminate:
        return this.restart(instance, (one) => one.terminate());
      case FaultKind.kill:
        return this.restart(instance, (one) => one.kill(), ending);
      case FaultKind.freeze:
        return this.freeze(instance, ending);
      case FaultKind.reconfigure:
        return this.reconfigure(manner);
      case FaultKind.silence:
        return this.silence(endpoint, manner as SilentStage, ending);
      case FaultKind.crash:
        return this.queueDeath(endpoint, (one) => this.crash(one, ending));
      case FaultKind.restart:
        return this.queueDeath(endpoint, (one) => this.restartEngine(one, readDeath(manner)));
      case FaultKind.copy:
        return this.copy(endpoint, ending);
      case FaultKind.spoil:
        return this.spoil(endpoint, ending);
      case FaultKind.malformed:
        return this.sendMalformed(instance, manner as InstancePort);
      case FaultKind.store:
        return this.disturbStore(manner as StoreFailure, ending);
      case FaultKind.burst:
        this.callers.burst();
        return ending;
    }
  }

  private async cut(names: readonly string[], mode: CutMode, ending: Promise<void>): Promise<void> {
    await this.fleet.ways.cut(names, mode);
    await ending;
    await this.fleet.ways.heal(names, mode);
  }

  private async delay(names: readonly string[], ending: Promise<void>): Promise<void> {
    this.fleet.ways.delay(names, WAY_DELAY_MS);
    await ending;
    this.fleet.ways.delay(names, 0);
  }

  /** Ends the process of an instance, and starts another one when that is due. */
  private async restart(
    name: string,
    end: (instance: SoakInstance) => Promise<void>,
    due?: Promise<void>,
  ): Promise<void> {
    const instance = this.fleet.instances.get(name);
    if (instance === undefined) return;
    const before = this.restarts.get(name) ?? Promise.resolve();
    const restarted = before.then(async () => {
      await end(instance);
      await due;
      await instance.start();
    });
    this.restarts.set(name, restarted);
    await restarted;
  }

  private async freeze(name: string, ending: Promise<void>): Promise<void> {
    const instance = this.fleet.instances.get(name);
    instance?.signal("SIGSTOP");
    await ending;
    instance?.signal("SIGCONT");
  }

  private reconfigure(name: string): Promise<void> {
    const change = CHANGES.find((one) => one.name === name);
    this.publish(change?.apply(createSoakConfig(0)) ?? {});
    return Promise.resolve();
  }

  private publish(change: object): void {
    this.version += 1;
    this.fleet.store.putConfig({ ...createSoakConfig(this.version), ...change });
  }

  private async silence(id: string, stage: SilentStage, ending: Promise<void>): Promise<void> {
    const endpoint = this.fleet.endpoints.get(id);
    endpoint?.silence(stage);
    await ending;
    endpoint?.resume(stage);
  }

  private async copy(id: string, ending: Promise<void>): Promise<void> {
    const endpoint = this.fleet.endpoints.get(id);
    if (endpoint === undefined) return;
    endpoint.isCopying = true;
    await ending;
    endpoint.isCopying = false;
  }

  private async spoil(id: string, ending: Promise<void>): Promise<void> {
    const endpoint = this.fleet.endpoints.get(id);
    if (endpoint === undefined) return;
    endpoint.isSpoiling = true;
    await ending;
    endpoint.isSpoiling = false;
  }

  /** Sends bytes that are no request, and drops the connection once it has had time to read them. */
  private async sendMalformed(name: string, port: InstancePort): Promise<void> {
    const number = this.fleet.instances.get(name)?.getPort(port) ?? 0;
    const socket = connect({ host: "127.0.0.1", port: number });
    // The process may be gone.
    socket.on("error", () => undefined);
    socket.write(MALFORMED);
    await pause(MALFORMED_MS);
    socket.resetAndDestroy();
  }

  /** Ends a process of an endpoint once its one before is up and listed. */
  private async queueDeath(
    id: string,
    play: (endpoint: SoakEndpoint) => Promise<void>,
  ): Promise<void> {
    const endpoint = this.fleet.endpoints.get(id);
    if (endpoint === undefined) return;
    const played = (this.deaths.get(id) ?? Promise.resolve()).then(() => play(endpoint));
    this.deaths.set(id, played);
    await played;
  }

  /** Ends the process of an endpoint, so that connections to it are reset and refused, and starts another one. */
  private async crash(endpoint: SoakEndpoint, ending: Promise<void>): Promise<void> {
    endpoint.crash();
    await this.fleet.ways.cut([endpoint.id], CutMode.reset);
    await ending;
    await endpoint.start();
    await this.fleet.ways.heal([endpoint.id], CutMode.reset);
    this.fleet.store.putEndpoint(endpoint.createEntry());
  }

  /** Ends the process of an engine amid its streams; the next one serves before it is listed. */
  private async restartEngine(
    engine: SoakEndpoint,
    { by, downMs, version, entryDelayMs }: EngineDeath,
  ): Promise<void> {
    // As long as no process is there, new connections are refused; those of the dead one end as it did.
    const mode = by === DeathBy.rst ? CutMode.reset : CutMode.refuseNew;
    const isDown = downMs > 0 || by === DeathBy.rst;
    const cut = isDown ? this.fleet.ways.cut([engine.id], mode) : undefined;
    engine.crash();
    await cut;
    await pause(downMs);
    await engine.start(version);
    if (isDown) await this.fleet.ways.heal([engine.id], mode);
    await pause(entryDelayMs);
    this.fleet.store.putEndpoint(engine.createEntry());
  }

  private async disturbStore(failure: StoreFailure, ending: Promise<void>): Promise<void> {
    const { storeServer } = this.fleet;
    if (failure === StoreFailure.silent) storeServer.isSilent = true;
    else if (failure === StoreFailure.slow) storeServer.delayMs = STORE_DELAY_MS;
    else storeServer.isAway = true;
    await ending;
    if (failure === StoreFailure.restored) this.restoreStore();
    storeServer.isSilent = false;
    storeServer.isAway = false;
    storeServer.delayMs = 0;
  }

  /** Has the store lose its newest records; what is not the instances' own is written again. */
  private restoreStore(): void {
    const { store } = this.fleet;
    const lost = [store.configuration, store.endpoints].map(({ records }) =>
      records.slice(-LOST_RECORDS),
    );
    store.restore({ configuration: LOST_RECORDS, endpoints: LOST_RECORDS, members: LOST_RECORDS });
    const [configuration = [], endpoints = []] = lost;
    for (const { key, value } of configuration) store.configuration.put(key, value);
    for (const { key, value } of endpoints) store.endpoints.put(key, value);
  }

  private readTime(): number {
    return performance.now() - this.startedAt;
  }
}
