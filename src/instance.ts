/**
 * An entry instance: creates its components, starts them and shuts them down.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { type Blackboard, createBlackboard } from "./board/board";
import { SchedulerClient } from "./control/schedulerclient";
import { RateLimitClient } from "./control/ratelimitclient";
import { serveBookStream } from "./control/bookstream";
import { Claimer } from "./control/claimer";
import { ControlReader } from "./control/controlreader";
import { EndpointController } from "./control/endpointcontroller";
import { OwnedEndpoints } from "./control/ownership";
import { RateLimiter } from "./control/ratelimiter";
import { BASELINE_POLICY, RESERVING_POLICY } from "./control/policy";
import { PoolScheduler } from "./control/scheduler";
import { HoldTracker } from "./control/holds";
import { ListPoller } from "./control/listpoller";
import {
  findInstanceAddress,
  listLocalInstances,
  listReachableInstances,
  Membership,
  type InstanceIdentity,
} from "./control/membership";
import { DutyElector } from "./control/elector";
import { createEngineClient, createServiceClient } from "./control/endpointclients";
import { Prober } from "./control/prober";
import { Sweeper } from "./control/sweeper";
import { type Clock, MonotonicClock, pause } from "./core/clock";
import { listEvacuated } from "./core/config/evacuations";
import { createIncarnation, IdGenerator } from "./core/ids";
import { createLogger, type Logger } from "./core/log";
import { createMetrics, Metric, type Metrics } from "./core/metrics";
import { chooseByRendezvousHash } from "./core/rendezvous";
import { RetryBudget, type RetryLimit } from "./core/retrybudget";
import { DEFAULT_SETTINGS, type Settings } from "./core/settings";
import { runTask } from "./core/tasks";
import { OperatorServer, type InstanceStatus } from "./entry/operator";
import { ServiceRouter } from "./entry/service";
import { CallerServer } from "./entry/server";
import { GrpcPeerTransport } from "./peer/transport";
import {
  type BookServerStream,
  startPeerServer,
  type PeerHandler,
  type PeerServer,
} from "./peer/server";
import type { EngineClient } from "./endpoint/engine";
import type { BrokenAnswerListener } from "./store/brokenanswer";
import { HttpInstanceList } from "./store/list";
import { HttpLogClient } from "./store/log";

const METRICS_INTERVAL_MS = 5000;
const HAND_OVER_TIMEOUT_MS = 1000;
/** How long the hand-over of the rate limiter waits for open loans of tokens to expire. */
const LOAN_EXPIRY_WAIT_MS = 1600;
const PEER_SERVER_CLOSE_TIMEOUT_MS = 300;
const HOLD_RELEASE_TIMEOUT_MS = 5000;
/** How long a new instance waits, before it reports ready, to reach the holder of its data centre's rate limits. */
const HOLDER_WAIT_TIMEOUT_MS = 8000;
/**
 * Limits the retries of each route at this instance: a quarter of its requests, plus about 100 in ten seconds for a
 * quiet or new route, because a lost engine costs each of its requests several attempts. The slack is larger than 100
 * because only 0.28 of it may be used at first.
 */
const RETRY_LIMIT: RetryLimit = { ratio: 0.25, slack: 360, windowMs: 10_000 };
const NANOSECONDS_PER_MS = 1e6;

/** A running instance. */
export interface Instance {
  /** Shuts down after all accepted requests have finished. */
  close(): Promise<void>;
}

/**
 * Creates and starts an instance.
 *
 * @param settings - validated settings
 * @returns the instance, once it listens on all its ports; rejects where a port cannot be opened
 * @example
 * const instance = await createInstance(settings);
 * process.on("SIGTERM", () => void instance.close());
 */
export async function createInstance(settings: Settings): Promise<Instance> {
  const instance = new EntryInstance(settings);
  await instance.start();
  return instance;
}

class EntryInstance implements Instance, PeerHandler {
  private readonly board: Blackboard = createBlackboard();
  private readonly clock: Clock = new MonotonicClock();
  private readonly self: InstanceIdentity;
  private readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly ids: IdGenerator;
  private readonly logClient: HttpLogClient;
  private readonly instanceList: HttpInstanceList;
  private readonly transport = new GrpcPeerTransport();
  private readonly engines: EngineClient;
  private readonly listPoller: ListPoller;
  private readonly controlReader: ControlReader;
  private readonly membership: Membership;
  private readonly prober: Prober;
  private readonly scheduler: PoolScheduler;
  private readonly schedulerClient: SchedulerClient;
  private readonly holdTracker: HoldTracker;
  private readonly sweeper: Sweeper;
  private readonly rateLimiter: RateLimiter;
  private readonly rateLimits: RateLimitClient;
  private readonly dutyElector: DutyElector;
  private readonly endpointController: EndpointController;
  private readonly claimer: Claimer;
  private readonly callerServer: CallerServer;
  private readonly operatorServer: OperatorServer;
  private readonly loopDelay = monitorEventLoopDelay({ resolution: 10 });
  private peerServer: PeerServer | undefined;
  private sessionCount = 0;
  private isReady = false;
  private startedAt = 0;
  private metricsTimer: NodeJS.Timeout | undefined;

  constructor(private readonly settings: Settings) {
    const { instance, dataCentre, platform } = settings;
    const { board, clock, transport } = this;
    const self = { instance, incarnation: createIncarnation(instance), dataCentre };
    const logger = createLogger(instance, settings.logLevel ?? DEFAULT_SETTINGS.logLevel);
    const metrics = createMetrics(instance, settings.metrics);
    const ids = new IdGenerator(self.incarnation);
    const onBroken: BrokenAnswerListener = (answer) => {
      metrics.count(Metric.brokenAnswer, 1, { reason: answer.reason });
      logger.warn("broken answer", { ...answer });
    };
    const engines = createEngineClient(board, onBroken);
    const logClient = new HttpLogClient(platform.log, onBroken);
    this.self = self;
    this.logger = logger;
    this.metrics = metrics;
    this.ids = ids;
    this.engines = engines;
    this.logClient = logClient;
    this.instanceList = new HttpInstanceList(platform.list, onBroken);
    this.listPoller = new ListPoller(board, this.instanceList, clock, logger);
    this.controlReader = new ControlReader(board, logClient, clock, ids, logger, () =>
      this.hasSnapshotDuty(),
    );
    this.membership = new Membership(board, self, transport, this.controlReader, clock, logger);
    const ownedEndpoints = new OwnedEndpoints(board, self);
    const policy = settings.policy === "baseline" ? BASELINE_POLICY : RESERVING_POLICY;
    this.scheduler = new PoolScheduler(board, clock, policy, logger, metrics, () => {
      this.prober.probe();
    });
    this.prober = new Prober(
      board,
      self,
      engines,
      clock,
      ownedEndpoints,
      () => this.scheduler.listScheduledPools(),
      () => this.dutyElector.readFencingToken() !== undefined,
      logger,
    );
    this.prober.onReport((report) => {
      this.scheduler.onReport(report);
    });
    this.schedulerClient = new SchedulerClient(
      board,
      self,
      this.scheduler,
      transport,
      clock,
      logger,
      metrics,
    );
    this.holdTracker = new HoldTracker(engines, clock, metrics, logger);
    this.sweeper = new Sweeper(board, self, engines, clock, ownedEndpoints, logger);
    this.rateLimiter = new RateLimiter(board, self, transport, clock, logger);
    this.rateLimits = new RateLimitClient(board, self, this.rateLimiter, transport, clock);
    this.dutyElector = new DutyElector(board, self, logClient, clock, ids, logger);
    this.endpointController = new EndpointController(
      board,
      self,
      this.dutyElector,
      engines,
      clock,
      logger,
    );
    this.claimer = new Claimer(board, logClient, clock, ids, logger);
    const retries = new RetryBudget(RETRY_LIMIT, () => 1, clock.now());
    const shared = { board, clock, ids, dataCentre, retries, logger, metrics };
    const serviceRouter = new ServiceRouter({
      ...shared,
      claimer: this.claimer,
      services: createServiceClient(board, onBroken),
    });
    this.callerServer = new CallerServer(
      {
        ...shared,
        schedulerClient: this.schedulerClient,
        rateLimits: this.rateLimits,
        holdTracker: this.holdTracker,
        engines,
      },
      serviceRouter,
      { ...DEFAULT_SETTINGS, ...settings },
      () => this.checkReady(),
    );
    this.operatorServer = new OperatorServer(() => this.readStatus());
  }

  async start(): Promise<void> {
    this.loopDelay.enable();
    this.startedAt = this.clock.now();
    this.peerServer = await startPeerServer(this.settings.peers, this);
    await this.operatorServer.listen(this.settings.operator);
    await this.callerServer.listen(this.settings.callers);
    for (const component of this.listComponents()) component.start();
    const sendMetrics = () => void runTask("metrics", this.logger, this.sendMetrics.bind(this));
    this.metricsTimer = setInterval(sendMetrics, METRICS_INTERVAL_MS);
    const { incarnation, dataCentre } = this.self;
    this.logger.info("started", { incarnation, dataCentre });
  }

  /**
   * Shuts down in order: reports not ready and keeps serving until the load balancer has noticed, refuses new requests
   * and finishes accepted ones, hands over the holder duty, waits until the releases of holds are acknowledged, then
   * closes the components.
   */
  async close(): Promise<void> {
    if (this.board.draining.read()) return;
    this.board.draining.write(true);
    this.logger.info("draining", { requests: this.callerServer.inFlightCount });
    await pause(this.settings.drainNoticeMs ?? DEFAULT_SETTINGS.drainNoticeMs);
    await this.callerServer.close();
    await this.handOverHolderDuty();
    await this.waitForReleases();
    for (const component of this.listComponents()) component.close();
    clearInterval(this.metricsTimer);
    await this.peerServer?.close(PEER_SERVER_CLOSE_TIMEOUT_MS);
    this.transport.close();
    await Promise.all([
      this.operatorServer.close(),
      this.engines.close(),
      this.logClient.close(),
      this.instanceList.close(),
    ]);
    this.loopDelay.disable();
    this.metrics.close();
    this.logger.info("stopped", { holds: this.holdTracker.size });
  }

  onHeartbeat(
    message: Parameters<PeerHandler["onHeartbeat"]>[0],
  ): ReturnType<PeerHandler["onHeartbeat"]> {
    return this.membership.onHeartbeat(message);
  }

  onPull(request: Parameters<PeerHandler["onPull"]>[0]): ReturnType<PeerHandler["onPull"]> {
    return this.controlReader.answerPull(request);
  }

  onCharge(request: Parameters<PeerHandler["onCharge"]>[0]): ReturnType<PeerHandler["onCharge"]> {
    return this.rateLimiter.charge(request);
  }

  onLend(request: Parameters<PeerHandler["onLend"]>[0]): ReturnType<PeerHandler["onLend"]> {
    return this.rateLimiter.lendAll(request);
  }

  onSettle(request: Parameters<PeerHandler["onSettle"]>[0]): void {
    this.rateLimiter.settle(request);
  }

  onHandOver(
    request: Parameters<PeerHandler["onHandOver"]>[0],
  ): ReturnType<PeerHandler["onHandOver"]> {
    return { taken: this.rateLimiter.acceptHandOver(request) };
  }

  onStatus(): ReturnType<PeerHandler["onStatus"]> {
    return { json: JSON.stringify(this.readStatus()) };
  }

  /** Opens a scheduler session on a stream. */
  onBook(stream: BookServerStream): void {
    this.sessionCount += 1;
    serveBookStream(`session-${this.sessionCount}`, stream, this.scheduler, this.logger);
  }

  private listComponents(): readonly { start(): void; close(): void }[] {
    return [
      this.listPoller,
      this.controlReader,
      this.membership,
      this.prober,
      this.scheduler,
      this.schedulerClient,
      this.holdTracker,
      this.sweeper,
      this.dutyElector,
      this.endpointController,
      this.claimer,
    ];
  }

  /**
   * Checks whether the instance is ready: it has the configuration, has read the log to its end or caught up with its
   * peers, and reaches the holder of the rate limits or has waited for it long enough. Once ready, it stays ready,
   * even where it later loses one of these.
   */
  private checkReady(): boolean {
    if (this.isReady || !this.controlReader.hasConfiguration) return this.isReady;
    if (!this.controlReader.hasReachedLogEnd && !this.membership.isCaughtUp) return false;
    const hasTimedOut = this.clock.now() - this.startedAt > HOLDER_WAIT_TIMEOUT_MS;
    this.isReady = hasTimedOut || this.rateLimits.isHolderReachable();
    return this.isReady;
  }

  private hasSnapshotDuty(): boolean {
    const members = listReachableInstances(this.board, this.self, this.clock.now());
    return chooseByRendezvousHash("snapshot", members) === this.self.instance;
  }

  /**
   * Hands the rate limits of the data centre to another instance: the bucket levels by a message, the holder duty by a
   * record in the log. Where the message is lost, its tokens are lost too.
   */
  private async handOverHolderDuty(): Promise<void> {
    const now = this.clock.now();
    const candidates = listLocalInstances(this.board, this.self, now);
    const successor = chooseByRendezvousHash("holder", candidates);
    const member = this.board.members.get(successor ?? "");
    const address = findInstanceAddress(this.board, successor ?? "");
    if (member === undefined || address === undefined) return;
    const { dataCentre, incarnation } = this.self;
    if (this.rateLimiter.hasBuckets) await pause(LOAN_EXPIRY_WAIT_MS);
    const levels = this.rateLimiter.stopGranting();
    await this.transport.handOver(
      address,
      { dataCentre, from: incarnation, levels: [...levels] },
      HAND_OVER_TIMEOUT_MS,
    )();
    await this.dutyElector.handOverHolderDuty(member.incarnation);
  }

  private async waitForReleases(): Promise<void> {
    const deadline = this.clock.now() + HOLD_RELEASE_TIMEOUT_MS;
    while (this.holdTracker.size > 0 && this.clock.now() < deadline) await pause(50);
  }

  private sendMetrics(): void {
    const now = this.clock.now();
    this.metrics.gauge(Metric.eventLoopDelayMs, this.computeLoopDelayP99Ms());
    this.metrics.gauge(Metric.configVersion, this.board.config.read().version);
    const age = now - this.board.controlCaughtUpAt.read();
    if (Number.isFinite(age)) this.metrics.gauge(Metric.configAgeMs, Math.round(age));
    this.rateLimiter.prune();
    this.loopDelay.reset();
  }

  private computeLoopDelayP99Ms(): number {
    return Math.round((this.loopDelay.percentile(99) / NANOSECONDS_PER_MS) * 100) / 100;
  }

  private readStatus(): InstanceStatus {
    const now = this.clock.now();
    const age = now - this.board.controlCaughtUpAt.read();
    return {
      ...this.self,
      isReady: this.checkReady(),
      isDraining: this.board.draining.read(),
      configVersion: this.board.config.read().version,
      configAgeMs: Number.isFinite(age) ? Math.round(age) : null,
      requests: this.callerServer.inFlightCount,
      holds: this.holdTracker.size,
      members: [...listReachableInstances(this.board, this.self, now)].sort(),
      endpoints: [...this.board.endpoints.keys()].sort(),
      duties: [...this.board.duties.read().values()]
        .filter((item) => item.incarnation === this.self.incarnation)
        .map((item) => `${item.duty} of ${item.dataCentre}`),
      evacuated: listEvacuated(this.board.config.read().configuration),
      keptPools: [...this.scheduler.listScheduledPools()].sort(),
      eventLoopDelayP99Ms: this.computeLoopDelayP99Ms(),
    };
  }
}
