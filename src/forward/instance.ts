/**
 * Creates, connects, starts and shuts down the parts of a forwarding instance.
 */
import { createServer, type Server } from "node:http";
import * as E from "fp-ts/Either";
import { type Clock, MonotonicClock, pause } from "../core/clock";
import { createIncarnation } from "../core/ids";
import { BoundedLineWriter, createByteWriter } from "../core/lines";
import { createLogger, type Logger } from "../core/log";
import { createNotRunRefusal, Reason } from "../core/outcome";
import { HeartbeatExchanger } from "../fleet/heartbeat";
import { EndpointDirectory, type EndpointDecoder } from "../fleet/directory";
import { Joiner } from "../fleet/joiner";
import {
  type FleetHandler,
  type FleetServer,
  GrpcFleetTransport,
  startFleetServer,
} from "../fleet/transport";
import { MemberList, type MemberIdentity } from "../fleet/members";
import { ReaderRole } from "../fleet/readers";
import type { Store } from "../fleet/store";
import { type ConfigDecoder, StoreWatcher } from "../fleet/watcher";
import type { Beat, ChargeReply, ChargeRequest, FetchReply, FetchRequest } from "../peer/gen/fleet";
import { Admission } from "./admission";
import { HttpEndpointClient } from "./client";
import type { ForwardContext } from "./context";
import { EndpointGate } from "./gate";
import { addGauges } from "./gauges";
import { Releaser } from "./releaser";
import { CrashTracker } from "../core/crashes";
import { ReservationQueue } from "./reservations";
import { Dispatcher } from "./dispatch";
import { EngineModel } from "./enginemodel";
import { EngineLoadTracker } from "./engines";
import type { CallerCodec, EndpointCodec } from "./messages";
import { HealthTracker } from "./health";
import { Meter } from "./meter";
import { PeerState } from "./peerstate";
import { QuotaCharger } from "./charges";
import { answerCharge, PeerChargeTransport } from "./chargepeer";
import { Quotas } from "./quota";
import { OrderLeases } from "../fleet/orders";
import { StageRebalancer } from "./rebalancer";
import { RefusalTracker } from "./refusals";
import { RetryBudget } from "../core/retrybudget";
import { type CallerResponse, type CallerRequest, ForwardServer } from "./server";
import type { ForwardSettings, ListenAddress } from "./settings";

const STANDARD_OUTPUT = 1;
/**
 * How long callers may still send requests on kept-alive connections after a signal to stop, in
 * milliseconds.
 */
const SHUTDOWN_NOTICE_MS = 2600;
/** How long before the platform kills the process a stopping instance exits, in milliseconds. */
const GRACE_MARGIN_MS = 700;
const MAINTENANCE_INTERVAL_MS = 1000;
/**
 * The share of an endpoint's maximum of connections that the fleet uses, so that the endpoint never
 * refuses one.
 */
const CONNECTION_SHARE = 0.85;
const MIN_CONNECTIONS = 4;

/**
 * Retry delay for callers of a stopping instance, in milliseconds; short, as the retry goes to
 * another instance.
 */
const STOPPING_RETRY_MS = 50;
/** What an adapter to a platform provides: its store, codecs and decoders. */
export interface Adapter {
  readonly store: Store;
  readonly callerCodec: CallerCodec;
  readonly endpointCodec: EndpointCodec;
  readonly decodeConfig: ConfigDecoder;
  readonly decodeEndpoint: EndpointDecoder;
}

/** A forwarding instance with all its parts. */
export class ForwardInstance implements FleetHandler {
  private readonly clock: Clock = new MonotonicClock();
  private readonly meter = new Meter();
  private readonly logger: Logger;
  private readonly self: MemberIdentity;
  private readonly directory: EndpointDirectory;
  private readonly members: MemberList;
  private readonly transport = new GrpcFleetTransport();
  private readonly watcher: StoreWatcher;
  private readonly readerRole: ReaderRole;
  private readonly heartbeats: HeartbeatExchanger;
  private readonly joiner: Joiner;
  private readonly quotas: Quotas;
  private readonly crashes = new CrashTracker();
  private readonly refusals = new RefusalTracker();
  private readonly engineLoad = new EngineLoadTracker((engine, forMs) => {
    this.logger.warn("engine passed over", { engine, forMs });
  });
  private readonly engineModel = new EngineModel();
  private readonly context: ForwardContext;
  private readonly reservations: ReservationQueue;
  private readonly rebalancer: StageRebalancer;
  private readonly peerState: PeerState;
  private readonly dispatcher: Dispatcher;
  private readonly callerServer: ForwardServer;
  private readonly readyServer: Server;
  private readonly metricsServer: Server;
  private peerServer: FleetServer | undefined;
  private timers: NodeJS.Timeout[] = [];
  private isStopping = false;
  /** True once new requests are refused, as they are better served by another instance. */
  private isRefusing = false;
  private hasLoggedReady = false;
  /** Number of live instances in the last log line on shares. */
  private loggedLiveCount = 0;
  private configVersion = -1;

  constructor(
    private readonly settings: ForwardSettings,
    private readonly adapter: Adapter,
  ) {
    const { instance, dataCentre, peers } = settings;
    const { clock, meter } = this;
    const lines = new BoundedLineWriter(createByteWriter(STANDARD_OUTPUT));
    const address = `${peers.host}:${peers.port}`;
    this.logger = createLogger(instance, settings.logLevel, lines);
    this.self = { instance, incarnation: createIncarnation(instance), address, dataCentre };
    this.directory = new EndpointDirectory(adapter.decodeEndpoint);
    this.members = new MemberList(this.self, this.logger, clock.now());
    this.readerRole = new ReaderRole(instance, (now) => [
      ...this.members.listReaderCandidates(now),
      { instance, dataCentre, isStoreLost: this.watcher.isStoreLost },
    ]);
    this.watcher = new StoreWatcher(
      adapter.store,
      this.directory,
      adapter.decodeConfig,
      clock,
      this.logger,
      meter,
      { configMs: settings.configApplyMs, endpointsMs: settings.drainMs },
      (now) => this.readerRole.isReader(now),
      () => {
        this.heartbeats.sendHeartbeats();
      },
    );
    this.quotas = new Quotas(
      settings.quotaTolerance,
      () => this.members.readFleetSize(clock.now()),
      clock.now(),
    );
    const charger = new QuotaCharger({
      instance,
      quotas: this.quotas,
      transport: new PeerChargeTransport(this.self, this.members, this.transport),
      clock,
      logger: this.logger,
      listLive: () => this.members.listLive(clock.now()),
    });
    const random = Math.random;
    const gate = new EndpointGate(this.directory, clock, this.logger);
    const client = new HttpEndpointClient(adapter.endpointCodec, gate, clock, (service) =>
      this.computeMaxConnections(service),
    );
    this.context = {
      clock,
      logger: this.logger,
      meter,
      directory: this.directory,
      health: new HealthTracker(),
      gate,
      client,
      releaser: new Releaser(client, gate, clock, this.logger),
      codec: adapter.endpointCodec,
      retries: new RetryBudget(settings.retryLimit, () => this.countLive(), clock.now()),
      crashes: this.crashes,
      dataCentre,
      random,
    };
    this.reservations = new ReservationQueue(this.context, this.engineLoad);
    this.peerState = new PeerState({
      clock,
      logger: this.logger,
      directory: this.directory,
      watcher: this.watcher,
      quotas: this.quotas,
      crashes: this.crashes,
      refusals: this.refusals,
      engineLoad: this.engineLoad,
      engineModel: this.engineModel,
      reservations: this.reservations,
      isLeaving: () => this.isStopping,
    });
    this.heartbeats = new HeartbeatExchanger(
      this.self,
      this.members,
      this.transport,
      this.peerState,
      clock,
      this.logger,
    );
    this.joiner = new Joiner(
      this.self,
      this.members,
      adapter.store.members,
      clock,
      meter,
      this.logger,
      () => {
        this.heartbeats.sendHeartbeats();
      },
    );
    const leases = new OrderLeases(
      this.self.incarnation,
      adapter.store.orders,
      settings.orderLeaseMs,
      clock,
      this.logger,
      clock.now(),
    );
    adapter.store.onRestored(() => {
      leases.onStoreRestored();
      this.joiner.onStoreRestored();
    });
    this.rebalancer = new StageRebalancer({
      instance,
      leases,
      client,
      gate,
      codec: adapter.endpointCodec,
      clock,
      logger: this.logger,
      listLive: () => this.members.listLive(clock.now()),
      listServices: () => this.watcher.readConfigIndex()?.config.services ?? [],
      readStageLoad: (service) => this.peerState.readStageLoad(service),
      onOrder: (engine, deadline) => {
        this.engineLoad.recordOrder(engine, deadline);
        this.heartbeats.sendHeartbeats();
      },
    });
    const admission = new Admission({
      readConfigIndex: () => this.watcher.readConfigIndex(),
      computeConfigAgeMs: () => this.watcher.computeConfigAgeMs(),
      charger,
      crashes: this.crashes,
      logger: this.logger,
      random,
    });
    this.dispatcher = new Dispatcher({
      context: this.context,
      admission,
      reservations: this.reservations,
      engineLoad: this.engineLoad,
      engineModel: this.engineModel,
      refusals: this.refusals,
      peerState: this.peerState,
      watcher: this.watcher,
    });
    this.callerServer = new ForwardServer(
      adapter.callerCodec,
      (request) => this.serve(request),
      clock,
      this.logger,
      meter,
    );
    this.readyServer = createServer((_request, response) => {
      const isReady = this.isReady();
      if (isReady) this.logReady();
      response.statusCode = isReady ? 200 : 503;
      response.end();
    });
    this.metricsServer = createServer((_request, response) => {
      response.setHeader("content-type", "text/plain");
      void meter.renderMetrics().then((text) => response.end(text));
    });
    addGauges(meter, {
      countOpenRequests: () => this.callerServer.inFlightCount,
      countWaiting: () => this.reservations.size,
      readConfigVersion: () => this.configVersion,
      countLive: () => this.countLive(),
      countDroppedLines: () => lines.dropped,
      isStoreReader: () => this.readerRole.isReader(clock.now()),
      computeConfigAgeMs: () => this.watcher.computeConfigAgeMs(),
      computeEndpointsAgeMs: () => this.watcher.computeEndpointsAgeMs(),
    });
  }

  /** Starts all parts; rejects if an address is not available. */
  async start(): Promise<void> {
    const { settings } = this;
    const { incarnation, dataCentre } = this.self;
    this.logger.info("started", { incarnation, dataCentre });
    this.watcher.start();
    const now = this.clock.now();
    for (const address of settings.knownPeers) this.members.addAddress(address, undefined, now);
    await Promise.all([
      this.callerServer.listen(settings.callers.host, settings.callers.port),
      listenAt(this.readyServer, settings.ready),
      settings.metrics === undefined ? undefined : listenAt(this.metricsServer, settings.metrics),
      this.listenPeers(),
    ]);
    this.heartbeats.start();
    this.rebalancer.start();
    this.joiner.start();
    this.timers.push(
      setInterval(() => {
        this.maintain();
      }, MAINTENANCE_INTERVAL_MS),
    );
  }

  /**
   * Applies changed settings: adds known peers. Listen addresses and limits take effect at the next
   * start.
   */
  reload(settings: ForwardSettings): void {
    const now = this.clock.now();
    for (const address of settings.knownPeers) this.members.addAddress(address, undefined, now);
    this.logger.info("settings reloaded", { knownPeers: settings.knownPeers.length });
  }

  /** Logs that changed settings are invalid; the previous ones stay in force. */
  reportReloadFailure(error: Error): void {
    this.logger.warn("settings not reloaded", { error: error.message });
  }

  /**
   * Shuts down gracefully: reports not ready at once, keeps serving until the load balancer has
   * noticed, then refuses new requests and waits for those in flight, until shortly before the
   * platform kills the process.
   */
  async close(): Promise<void> {
    if (this.isStopping) return;
    const stopAt = this.clock.now() + this.settings.graceMs - GRACE_MARGIN_MS;
    this.isStopping = true;
    this.logger.info("stopping", { requests: this.callerServer.inFlightCount });
    this.callerServer.beginClose();
    this.heartbeats.sendHeartbeats();
    await pause(SHUTDOWN_NOTICE_MS);
    this.isRefusing = true;
    this.reservations.stop();
    this.callerServer.closeIdle();
    while (this.callerServer.inFlightCount > 0 && this.clock.now() < stopAt) await pause(20);
    this.logger.info("stopped", { requests: this.callerServer.inFlightCount });
    this.callerServer.close();
    this.readyServer.close();
    this.readyServer.closeAllConnections();
    this.metricsServer.close();
    this.metricsServer.closeAllConnections();
    for (const timer of this.timers) clearInterval(timer);
    this.watcher.close();
    this.heartbeats.close();
    this.joiner.close();
    this.rebalancer.close();
    this.reservations.close();
    this.context.releaser.close();
    this.transport.close();
    await Promise.all([
      this.peerServer?.close(),
      this.context.client.close(),
      this.adapter.store.close(),
    ]);
  }

  onBeat(beat: Beat): Beat {
    return this.heartbeats.onBeat(beat);
  }

  onFetch(request: FetchRequest): FetchReply {
    return this.peerState.answerFetch(request);
  }

  onCharge(request: ChargeRequest): ChargeReply {
    const { workspace: name } = request;
    const limit = this.watcher.readConfigIndex()?.findWorkspaceByName(name)?.limit;
    return answerCharge(this.quotas, request, limit, this.clock.now());
  }

  private serve(request: CallerRequest): Promise<CallerResponse> {
    this.applyCallerLimits();
    if (!this.isRefusing) return this.dispatcher.run(request);
    const message = "the instance is stopping";
    return Promise.resolve(
      E.left(createNotRunRefusal(503, Reason.notReady, message, STOPPING_RETRY_MS)),
    );
  }

  private isReady(): boolean {
    return !this.isStopping && this.watcher.isComplete();
  }

  /** Logs once that the instance is ready, at the first readiness check that succeeds. */
  private logReady(): void {
    if (this.hasLoggedReady) return;
    this.hasLoggedReady = true;
    this.logger.info("ready", {
      config: this.watcher.readConfigIndex()?.config.version,
      listOffset: this.directory.next.offset,
      sinceStartMs: Math.round(this.clock.now()),
    });
  }

  private applyCallerLimits(): void {
    const config = this.watcher.readConfigIndex()?.config;
    if (config === undefined || config.version === this.configVersion) return;
    this.configVersion = config.version;
    this.callerServer.setLimits(config.limits);
  }

  private maintain(): void {
    this.applyCallerLimits();
    this.logShares();
    const isListed = (id: string) => this.directory.find(id) !== undefined;
    this.context.health.prune(isListed);
    this.meter.prune(isListed);
  }

  /**
   * Logs the number of live instances and the live ratio when the number changes; the shares of
   * rates and retries are computed from them at each moment.
   */
  private logShares(): void {
    const live = this.countLive();
    if (live === this.loggedLiveCount) return;
    const { heard, missing } = this.members.readFleetSize(this.clock.now());
    const heardShare = Math.round((heard / (heard + missing)) * 100) / 100;
    this.logger.info("shares", { live, before: this.loggedLiveCount, heardShare });
    this.loggedLiveCount = live;
  }

  private countLive(): number {
    return this.members.listLive(this.clock.now()).length;
  }

  private computeMaxConnections(service: string): number {
    const fleetMax = this.watcher.readConfigIndex()?.findService(service)?.maxConnections;
    if (fleetMax === undefined) return 0;
    const share = Math.floor((fleetMax * CONNECTION_SHARE) / this.countLive());
    return Math.max(MIN_CONNECTIONS, share);
  }

  private async listenPeers(): Promise<void> {
    this.peerServer = await startFleetServer(this.self.address, this);
  }
}

function listenAt(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, resolve);
  });
}
