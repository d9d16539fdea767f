/**
 * Creates and connects the parts of a forwarding instance.
 */
import { RetryBudget } from "../core/retrybudget";
import { HeartbeatExchanger } from "../fleet/heartbeat";
import type { RelayNetwork } from "../fleet/relay/network";
import type { Beat } from "../peer/gen/fleet";
import { Joiner } from "../fleet/joiner";
import { OrderLeases } from "../fleet/orders";
import { Admission, Dispatcher, StopAdmission } from "./callers";
import { Announcer, EndpointGate } from "./limits";
import {
  createLimitState,
  createOutcomeReporter,
  createPermits,
  type LimitState,
} from "./limitparts";
import type { InstanceBase } from "./base";
import {
  PeerChargeTransport,
  QuotaCharger,
  PEER_COUNT_LAG_MS,
  Quotas,
  RELAYED_COUNT_LAG_MS,
  createCrashTracker,
  RefusalTracker,
} from "./shared";
import {
  EndpointSubsets,
  HttpEndpointClient,
  type ForwardContext,
  HealthTracker,
  ConfirmedProcesses,
  Releaser,
} from "./endpoints";
import { createDialer, createLinkChecker, createPeerWays } from "./dialing";
import {
  Arrivals,
  EngineModel,
  EngineLoadTracker,
  StageRebalancer,
  type StageRebalancerParts,
  ReservationQueue,
} from "./engines";
import { createFleetView, type FleetView } from "./fleetview";
import { createOriginParts, type OriginParts } from "./originparts";
import { PathTracker } from "./tunnels";
import { PeerState, type PeerStateParts } from "./peerstate";
import { createRelayNetwork } from "./relaying";
import { DEFAULT_MAX_DIRECT_INSTANCES } from "./settings";
import { createTakeUpCheck, ResumeResolver } from "./generations";

/**
 * The share of an endpoint's maximum of connections that the fleet uses, so that the endpoint never
 * refuses one.
 */
const CONNECTION_SHARE = 0.85;
const MIN_CONNECTIONS = 4;
/** A silent endpoint's direct way is checked after this many times its usual latency. */
const CHECK_LATENCY_FACTOR = 3;
/** Shortest silence after which a direct way is checked, in milliseconds. */
const MIN_CHECK_MS = 150;

/** What an instance knows of engines and of the requests that run there. */
interface EngineState {
  readonly arrivals: Arrivals;
  readonly refusals: RefusalTracker;
  readonly engineLoad: EngineLoadTracker;
  readonly engineModel: EngineModel;
  readonly reservations: ReservationQueue;
}

/** The parts of an instance that it starts, serves requests with and closes. */
export interface InstanceParts {
  readonly view: FleetView;
  readonly quotas: Quotas;
  readonly limitState: LimitState;
  readonly originParts: OriginParts;
  readonly context: ForwardContext;
  readonly reservations: ReservationQueue;
  readonly peerState: PeerState;
  readonly heartbeats: HeartbeatExchanger;
  readonly network: RelayNetwork;
  readonly joiner: Joiner;
  readonly rebalancer: StageRebalancer;
  readonly dispatcher: Dispatcher;
  readonly stopAdmission: StopAdmission;
}

/**
 * Creates the parts of an instance; none of them is started.
 *
 * @param isLeaving - returns whether the instance is stopping, which its heartbeats say
 * @example
 * const { heartbeats, dispatcher } = createParts(base, () => isStopping);
 */
export function createParts(base: InstanceBase, isLeaving: () => boolean): InstanceParts {
  const { clock, logger, self } = base;
  const sendHeartbeats = () => {
    heartbeats.sendHeartbeats();
  };
  const view = createFleetView(base, sendHeartbeats);
  const { members, transport } = view;
  const quotas = createQuotas(base, view);
  const limitState = createLimitState(base, view, isLeaving, {
    onBegin: () => {
      context.announcer.report();
    },
    onOutcome: createOutcomeReporter(() => context.gate.flushOutcomes(), logger),
  });
  const originParts = createOriginParts(base, view);
  const context: ForwardContext = createContext(
    base,
    view,
    limitState,
    originParts,
    sendHeartbeats,
  );
  const engines = createEngineState(context, createLagReader(view));
  const { sources } = limitState;
  const offerFetch = (beat: Beat) => {
    heartbeats.addOffer(beat);
  };
  const peerParts = { quotas, sources, isLeaving, offerFetch };
  const peerState = createPeerState(base, view, context, engines, peerParts);
  const network = createRelayNetwork(base, view, peerState, isLeaving);
  const heartbeats = new HeartbeatExchanger(
    self,
    members,
    transport,
    peerState,
    clock,
    logger,
    network,
    base.settings.maxDirectInstances ?? DEFAULT_MAX_DIRECT_INSTANCES,
  );
  const joiner = createJoiner(base, view, network, sendHeartbeats);
  const leases = createLeases(base, joiner);
  const rebalancer = createRebalancer(base, view, context, {
    leases,
    readStageLoad: (service) => peerState.readStageLoad(service),
    onOrder: (engine, deadline) => {
      engines.engineLoad.recordOrder(engine, deadline);
      sendHeartbeats();
    },
  });
  const admission = createAdmission(base, view, quotas, context);
  const { watcher } = view;
  const takeUpCheck = createTakeUpCheck(context);
  const resumeResolver = new ResumeResolver({ ...context, takeUpCheck });
  const stopAdmission = new StopAdmission();
  const dispatcher = new Dispatcher({
    context,
    admission,
    stopAdmission,
    resumeResolver,
    ...engines,
    watcher,
  });
  const { reservations } = engines;
  return {
    view,
    quotas,
    limitState,
    originParts,
    context,
    reservations,
    peerState,
    heartbeats,
    network,
    joiner,
    rebalancer,
    dispatcher,
    stopAdmission,
  };
}

function createQuotas({ settings, clock }: InstanceBase, view: FleetView): Quotas {
  const { members } = view;
  const readFleetSize = () => members.readFleetSize(clock.now());
  const readLagMs = createLagReader(view);
  return new Quotas(settings.quotaTolerance, readFleetSize, clock.now(), readLagMs);
}

/** Creates a reader of how old the counts become that peers report, in milliseconds. */
function createLagReader({ members }: FleetView): () => number {
  return () => (members.usesRelays ? RELAYED_COUNT_LAG_MS : PEER_COUNT_LAG_MS);
}

function createContext(
  base: InstanceBase,
  view: FleetView,
  limitState: LimitState,
  originParts: OriginParts,
  sendHeartbeats: () => void,
): ForwardContext {
  const { settings, adapter, clock, meter, loopDelay, logger } = base;
  const { directory, members } = view;
  const listLive = () => members.listLive(clock.now());
  const announcer = new Announcer(clock, sendHeartbeats, logger);
  const gate = new EndpointGate({
    directory,
    evacuations: view.watcher.evacuations,
    sources: limitState.sources,
    permits: createPermits(base, view, limitState),
    clock,
    logger,
    onLimitChange: () => {
      announcer.report();
    },
  });
  const health = new HealthTracker();
  const paths = new PathTracker(Math.random);
  const links = createLinkChecker(base, directory, paths, (id) => gate.isPaused(id));
  const isBarred = (id: string) => gate.isEvacuated(id);
  const dialer = createDialer(
    base,
    directory,
    { paths, links, isBarred },
    createPeerWays(base, view),
    {
      onWayLost: (target) => {
        client.onWayLost(target);
        announcer.report();
      },
      onWayBack: (target) => {
        client.onWayBack(target);
        announcer.report();
      },
    },
  );
  const client = new HttpEndpointClient(adapter.endpointCodec, gate, dialer, clock, {
    logger,
    computeCheckMs: (id) => Math.max(MIN_CHECK_MS, health.readLatencyMs(id) * CHECK_LATENCY_FACTOR),
    computeMaxConnections: (service) => computeMaxConnections(view, service),
    regions: view.regions,
    heldBytes: base.heldBytes,
    onForeignAnswer: (answer) => {
      meter.foreignAnswers.inc({ service: answer.service });
      logger.warn("foreign answer", { ...answer, answeredId: answer.answeredId ?? "" });
    },
    onBrokenAnswer: (answer) => {
      meter.brokenAnswers.inc({ service: answer.service, reason: answer.reason });
      logger.warn("broken answer", { ...answer });
    },
    onLoad: (id, load) => {
      health.recordLoadOfAnswer(id, load, clock.now());
    },
  });
  return {
    clock,
    logger,
    meter,
    loopDelay,
    directory,
    health,
    gate,
    client,
    dialer,
    paths,
    links,
    releaser: new Releaser({ client, gate, directory, clock, logger }),
    confirmedProcesses: new ConfirmedProcesses(),
    codec: adapter.endpointCodec,
    retries: new RetryBudget(settings.retryLimit, view.countLive, clock.now()),
    crashes: createCrashTracker(settings.instance, listLive, logger),
    announcer,
    ...originParts,
    readWallClock: Date.now,
    dataCentre: settings.dataCentre,
    subsets: new EndpointSubsets(settings.instance, settings.dataCentre, view.countLive),
    regions: view.regions,
    random: Math.random,
  };
}

/**
 * Computes how many connections this instance may have to each endpoint of a service. Requests that
 * were admitted before the service was removed go on, so that it has the fewest then.
 */
function computeMaxConnections({ watcher, countLive }: FleetView, service: string): number {
  const fleetMax = watcher.readConfigIndex()?.findService(service)?.maxConnections;
  if (fleetMax === undefined) return MIN_CONNECTIONS;
  const share = Math.floor((fleetMax * CONNECTION_SHARE) / countLive());
  return Math.max(MIN_CONNECTIONS, share);
}

function createEngineState(context: ForwardContext, readLagMs: () => number): EngineState {
  const arrivals = new Arrivals(readLagMs, context.random);
  const engineLoad = new EngineLoadTracker((engine, forMs) => {
    context.logger.warn("engine passed over", { engine, forMs });
  });
  return {
    refusals: new RefusalTracker(),
    engineLoad,
    engineModel: new EngineModel(),
    arrivals,
    reservations: new ReservationQueue(context, engineLoad, arrivals),
  };
}

function createPeerState(
  { clock, logger, faults }: InstanceBase,
  { directory, watcher, members }: FleetView,
  { crashes, paths }: ForwardContext,
  engines: EngineState,
  parts: Pick<PeerStateParts, "quotas" | "sources" | "isLeaving" | "offerFetch">,
): PeerState {
  return new PeerState({
    clock,
    logger,
    faults,
    directory,
    watcher,
    crashes,
    paths,
    ...engines,
    ...parts,
    isRelayed: (peer, now) => members.isRelayed(peer, now),
  });
}

function createJoiner(
  { adapter, clock, meter, logger, self, settings }: InstanceBase,
  { members }: FleetView,
  network: RelayNetwork,
  onJoined: () => void,
): Joiner {
  const feed = adapter.store.members;
  return new Joiner(self, members, feed, clock, meter, logger, onJoined, {
    mayWait: settings.knownPeers.length > 0 && settings.startHoldMs !== undefined,
    hasRelays: () => network.isActive && network.listNeighbours().length > 0,
    hasPeers: () => members.readFleetSize(clock.now()).heard > 1,
    isRelay: (now) => network.isActive && members.mayRead(now),
  });
}

/** Creates the order leases; they and the joiner are told when the store was restored. */
function createLeases(
  { settings, adapter, clock, logger, self }: InstanceBase,
  joiner: Joiner,
): OrderLeases {
  const { store } = adapter;
  const { orderLeaseMs } = settings;
  const { incarnation } = self;
  const leases = new OrderLeases(
    incarnation,
    store.orders,
    orderLeaseMs,
    clock,
    logger,
    clock.now(),
  );
  store.onRestored(() => {
    leases.onStoreRestored();
  });
  store.onRestored(() => {
    joiner.onStoreRestored();
  });
  return leases;
}

function createRebalancer(
  { clock, logger, self }: InstanceBase,
  { watcher, listLive }: FleetView,
  { client, gate, codec, listConfirmer }: ForwardContext,
  parts: Pick<StageRebalancerParts, "leases" | "readStageLoad" | "onOrder">,
): StageRebalancer {
  return new StageRebalancer({
    instance: self.instance,
    client,
    gate,
    codec,
    clock,
    logger,
    listLive,
    listServices: () => watcher.readConfigIndex()?.config.services ?? [],
    confirmList: async () => (await listConfirmer.confirm(clock.now())) !== undefined,
    ...parts,
  });
}

function createAdmission(
  { clock, logger, self }: InstanceBase,
  { members, transport, watcher, listLive }: FleetView,
  quotas: Quotas,
  { crashes, random }: ForwardContext,
): Admission {
  const charger = new QuotaCharger({
    instance: self.instance,
    quotas,
    transport: new PeerChargeTransport(self, members, transport),
    clock,
    logger,
    listLive,
  });
  return new Admission({
    readConfigIndex: () => watcher.readConfigIndex(),
    computeConfigAgeMs: () => watcher.computeConfigAgeMs(),
    charger,
    crashes,
    logger,
    random,
  });
}
