/**
 * A forwarding instance: starts its parts, serves with them, and shuts them down.
 */
import * as E from "fp-ts/Either";
import { AlignedInterval, TICK_MS } from "../core/aligned";
import { pause } from "../core/clock";
import { pauseAndRead } from "../core/readfirst";
import { runSteps, runTask } from "../core/tasks";
import { createNotRunRefusal, Reason } from "../core/outcome";
import { createNumberReport } from "../fleet/feeds/faults";
import type { RelayListener, RelayStream } from "../fleet/relay/transport";
import { type FleetHandler, type FleetServer, startFleetServer } from "../fleet/transport";
import type {
  Beat,
  ChargeReply,
  ChargeRequest,
  FetchReply,
  FetchRequest,
  PermitReply,
  PermitRequest,
  RecallReply,
  RecallRequest,
  RememberRequest,
} from "../peer/gen/fleet";
import type { Adapter } from "./adapter";
import { createInstanceBase, type InstanceBase } from "./base";
import { answerCharge, answerRecall, createRelayedCharge, keepOrigins } from "./shared";
import { addGauges, addRelayGauges } from "./gauges";
import { Maintenance } from "./maintenance";
import { createParts, type InstanceParts } from "./parts";
import { answerPermit } from "./limits";
import { type CallerResponse, type CallerRequest, ForwardServer } from "./callers";
import type { ForwardSettings } from "./settings";
import { StatusServers } from "./status";
import { type TunnelServerCall, TunnelServer } from "./tunnels";

export type { Adapter } from "./adapter";

/**
 * How long callers may still send requests on kept-alive connections after a signal to stop, in
 * milliseconds.
 */
const SHUTDOWN_NOTICE_MS = 2600;
/** How long connections that wait at the listener are accepted after that, in milliseconds. */
const LAST_CONNECTIONS_MS = 1000;
/** How long before the platform kills the process a stopping instance exits, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** How long the answers to requests that are ended may take, in milliseconds. */
const END_TIMEOUT_MS = 200;
/** Interval at which a stopping instance checks whether requests are in flight, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 20;
/**
 * Retry delay for callers of a stopping instance, in milliseconds; short, as the retry goes to
 * another instance.
 */
const STOPPING_RETRY_MS = 50;

/** Stands in the log for the sender of a message that does not name it. */
const UNNAMED_PEER = "(unnamed)";

/** A forwarding instance with all its parts. */
export class ForwardInstance implements FleetHandler {
  private readonly base: InstanceBase;
  private readonly parts: InstanceParts;
  private readonly callerServer: ForwardServer;
  private readonly statusServers: StatusServers;
  private readonly maintenance: Maintenance;
  private readonly tunnelServer: TunnelServer;
  private peerServer: FleetServer | undefined;
  private networkTimer: AlignedInterval | undefined;
  private isStopping = false;
  /** Resolves once the instance has stopped; undefined until it is told to. */
  private stopped: Promise<void> | undefined;
  /** True once new requests are refused, as they are better served by another instance. */
  private isRefusing = false;

  constructor(settings: ForwardSettings, adapter: Adapter) {
    this.base = createInstanceBase(settings, adapter);
    const { clock, logger, meter } = this.base;
    const isStopping = () => this.isStopping;
    this.parts = createParts(this.base, isStopping);
    const { view, context } = this.parts;
    this.callerServer = new ForwardServer(
      adapter.callerCodec,
      (request) => this.serve(request),
      clock,
      logger,
      meter,
      () => {
        this.maintenance.applyCallerLimits();
      },
      this.base.heldBytes,
    );
    const { directory, watcher } = view;
    const isBarred = (id: string) => context.gate.isEvacuated(id);
    this.tunnelServer = new TunnelServer(
      directory,
      clock,
      context.links,
      logger,
      undefined,
      isBarred,
      ({ reason, endedBy, isQuestion }) => {
        const use = isQuestion ? "question" : "requests";
        meter.servedTunnelEnds.inc({ reason, by: endedBy, use });
      },
    );
    this.statusServers = new StatusServers({
      clock,
      logger,
      meter,
      directory,
      watcher,
      isStopping,
    });
    this.maintenance = new Maintenance(view, context, this.callerServer);
    this.addGauges();
  }

  /** Starts all parts; rejects if an address is not available. */
  async start(): Promise<void> {
    const { settings, logger, self } = this.base;
    const { view, heartbeats, rebalancer, joiner } = this.parts;
    const { incarnation, dataCentre } = self;
    logger.info("started", { incarnation, dataCentre });
    view.watcher.start();
    this.addKnownPeers(settings);
    await Promise.all([
      this.callerServer.listen(settings.callers.host, settings.callers.port),
      this.statusServers.listen(settings.ready, settings.metrics),
      this.listenPeers(),
    ]);
    heartbeats.start();
    this.networkTimer = new AlignedInterval(TICK_MS, () => {
      void runTask("relay network", logger, () => {
        this.parts.network.tick();
      });
    });
    rebalancer.start();
    joiner.start();
    this.maintenance.start();
  }

  /**
   * Applies changed settings: adds known peers. Listen addresses and limits take effect at the next
   * start.
   */
  reload(settings: ForwardSettings): void {
    this.addKnownPeers(settings);
    this.base.logger.info("settings reloaded", { knownPeers: settings.knownPeers.length });
  }

  /** Logs that changed settings are invalid; the previous ones stay in force. */
  reportReloadFailure(error: Error): void {
    this.base.logger.warn("settings not reloaded", { error: error.message });
  }

  /**
   * Shuts down gracefully: reports not ready at once, keeps serving until the load balancer has
   * noticed, then refuses new requests and waits for those in flight, until shortly before the
   * platform kills the process. Resolves once it has stopped, also if it was told to before; a step
   * that fails is logged, and the rest is done.
   */
  close(): Promise<void> {
    this.stopped ??= this.stop();
    return this.stopped;
  }

  private async stop(): Promise<void> {
    const { settings, clock, logger } = this.base;
    const { heartbeats, reservations } = this.parts;
    const stopAt = clock.now() + settings.graceMs - GRACE_MARGIN_MS;
    this.isStopping = true;
    this.parts.stopAdmission.begin(stopAt);
    logger.info("stopping", { requests: this.callerServer.inFlightCount });
    void runSteps(logger, {
      "close kept connections": () => {
        this.callerServer.beginClose();
      },
      "refuse tunnels": () => {
        this.tunnelServer.beginClose();
      },
      "tell peers of the stop": () => {
        heartbeats.sendHeartbeats();
      },
    });
    await pauseAndRead(SHUTDOWN_NOTICE_MS);
    this.isRefusing = true;
    void runTask("stop queueing", logger, () => {
      reservations.stop();
    });
    const acceptBy = Math.min(stopAt, clock.now() + LAST_CONNECTIONS_MS);
    await runTask("accept waiting connections", logger, () =>
      this.callerServer.acceptWaiting(acceptBy),
    );
    void runTask("close idle connections", logger, () => {
      this.callerServer.closeIdle();
    });
    while (this.isServing() && clock.now() < stopAt) {
      await pause(DRAIN_CHECK_INTERVAL_MS);
    }
    logger.info("stopped", {
      requests: this.callerServer.inFlightCount,
      tunnels: this.tunnelServer.count,
    });
    await this.endRequests();
    await this.closeParts();
  }

  /** Answers the requests that are left, as not run where no endpoint has them. */
  private async endRequests(): Promise<void> {
    const { clock, logger } = this.base;
    const end = clock.now() + END_TIMEOUT_MS;
    void runTask("refuse queued requests", logger, () => {
      this.parts.reservations.stop();
    });
    await pauseAndRead(0);
    void runTask("end requests", logger, () => {
      this.callerServer.endRequests();
    });
    while (this.callerServer.inFlightCount > 0 && clock.now() < end) {
      await pause(DRAIN_CHECK_INTERVAL_MS);
    }
  }

  onBeat(beat: Beat): Beat {
    return this.parts.heartbeats.onBeat(beat);
  }

  onFetch(request: FetchRequest): FetchReply {
    return this.parts.peerState.answerFetch(request);
  }

  onCharge(request: ChargeRequest): ChargeReply {
    const { quotas, view } = this.parts;
    const { workspace: name } = request;
    const limit = view.watcher.readConfigIndex()?.findWorkspaceByName(name)?.limit;
    const { clock, faults } = this.base;
    const now = clock.now();
    const isRelayed = view.members.isRelayed(request.instance, now);
    const charge = isRelayed ? createRelayedCharge(request) : request;
    const onFault = createNumberReport(faults, request.instance);
    return answerCharge(quotas, charge, limit, now, onFault);
  }

  onPermit(request: PermitRequest): PermitReply {
    const { limitState } = this.parts;
    const { clock, faults } = this.base;
    const onFault = createNumberReport(faults, UNNAMED_PEER);
    return answerPermit(limitState.sources, limitState, request, clock.now(), onFault);
  }

  onRemember(request: RememberRequest): void {
    const { origins, originWriter } = this.parts.originParts;
    keepOrigins(origins, request, this.base.clock.now(), (named) => {
      originWriter.add(named);
    });
  }

  onRecall(request: RecallRequest): RecallReply {
    return answerRecall(this.parts.originParts.origins, request, this.base.clock.now());
  }

  onRelay(stream: RelayStream): RelayListener {
    return this.parts.network.accept(stream);
  }

  onTunnel(call: TunnelServerCall): void {
    this.tunnelServer.open(call);
  }

  /** Checks whether requests of callers are under way, or peers need this instance. */
  private isServing(): boolean {
    const { callerServer, tunnelServer } = this;
    if (callerServer.inFlightCount > 0 || callerServer.hasFreshConnections) return true;
    return tunnelServer.isNeeded;
  }

  private serve(request: CallerRequest): Promise<CallerResponse> {
    if (!this.isRefusing) return this.parts.dispatcher.run(request);
    const message = "the instance is stopping";
    return Promise.resolve(
      E.left(createNotRunRefusal(503, Reason.notReady, message, STOPPING_RETRY_MS)),
    );
  }

  private addKnownPeers({ knownPeers }: ForwardSettings): void {
    const now = this.base.clock.now();
    for (const address of knownPeers) this.parts.view.members.addAddress(address, undefined, now);
  }

  private addGauges(): void {
    addRelayGauges(this.base.meter, this.parts.network);
    const { clock, lines, loopDelay, meter } = this.base;
    const { view, reservations } = this.parts;
    const { watcher, readerRole } = view;
    const { sources } = this.parts.limitState;
    addGauges(meter, {
      countOpenRequests: () => this.callerServer.inFlightCount,
      countWaiting: () => reservations.size,
      readConfigVersion: () => this.maintenance.configVersion,
      countLive: view.countLive,
      countDroppedLines: () => lines.dropped,
      computeLoopDelayMs: () => loopDelay.computeRecentMs(),
      isStoreReader: () => readerRole.isReader(clock.now()),
      computeConfigAgeMs: () => watcher.computeConfigAgeMs(),
      computeEndpointsAgeMs: () => watcher.computeEndpointsAgeMs(),
      countEvacuated: () => watcher.evacuations.listEvacuated().length,
      countCold: () => sources.countCold(view.directory.listAll(), clock.now()),
      countPaced: () => sources.pacing?.size ?? 0,
      countHeldBytes: () => this.base.heldBytes.held,
    });
  }

  private async listenPeers(): Promise<void> {
    this.peerServer = await startFleetServer(this.base.self.address, this);
  }

  private async closeParts(): Promise<void> {
    const { view, heartbeats, network, joiner, rebalancer, reservations, context, originParts } =
      this.parts;
    const { callerServer, tunnelServer, statusServers, maintenance, peerServer } = this;
    const { loopDelay, adapter, logger } = this.base;
    const { releaser, announcer, client } = context;
    const servers = { callerServer, tunnelServer, statusServers, maintenance };
    const own = { loopDelay, watcher: view.watcher, heartbeats, network, joiner, rebalancer };
    const shared = { reservations, releaser, announcer, originWriter: originParts.originWriter };
    const last = { transport: view.transport, peerServer, client, store: adapter.store };
    this.networkTimer?.close();
    await Promise.all(
      Object.entries({ ...servers, ...own, ...shared, ...last }).map(([name, part]) =>
        runTask(`close ${name}`, logger, () => part?.close()),
      ),
    );
  }
}
