/**
 * Creates the parts that know which version began a stream: from memory, from peers, and from the store.
 */
import { HistoryReader } from "../fleet/historyreader";
import { VersionHistory } from "../fleet/versionhistory";
import type { InstanceBase } from "./base";
import type { FleetView } from "./fleetview";
import { MAX_RETURN_MS } from "./generations";
import {
  ListConfirmer,
  type NamedOrigin,
  OpenQuestions,
  OriginPublisher,
  OriginWriter,
  PeerOriginTransport,
  SharedOrigins,
  StoredOrigins,
  StreamOrigins,
  UnknownOrigins,
} from "./shared";

/** The parts that know which version began a stream. */
export interface OriginParts {
  readonly origins: StreamOrigins;
  readonly sharedOrigins: SharedOrigins;
  readonly storedOrigins: StoredOrigins;
  readonly originWriter: OriginWriter;
  readonly originPublisher: OriginPublisher;
  readonly openQuestions: OpenQuestions;
  readonly versionHistory: VersionHistory;
  readonly historyReader: HistoryReader;
  readonly listConfirmer: ListConfirmer;
}

/**
 * Creates the parts that know which version began a stream.
 *
 * @example
 * const { sharedOrigins, versionHistory } = createOriginParts(base, view);
 */
export function createOriginParts(base: InstanceBase, view: FleetView): OriginParts {
  const { settings, adapter, clock, meter, logger } = base;
  const { members, transport, readerRole, directory, watcher } = view;
  const { instance } = settings;
  const log = adapter.store.origins;
  const computeStreamMs = (service: string) => findLongestMs(view, service) + MAX_RETURN_MS;
  const versionHistory = new VersionHistory(settings.drainMs);
  const unknown = new UnknownOrigins({
    ...{ versionHistory, computeStreamMs, clock, meter, logger },
    readWallClock: Date.now,
  });
  const origins = new StreamOrigins((origin) => {
    unknown.record(origin);
  });
  const historyReader = new HistoryReader({
    feed: adapter.store.endpoints,
    decode: adapter.decodeEndpoint,
    versionHistory,
    processes: directory.processes,
    clock,
    meter,
    logger,
  });
  const listConfirmer = new ListConfirmer({
    feed: adapter.store.endpoints,
    decode: adapter.decodeEndpoint,
    directory,
    versionHistory,
    computeListAgeMs: () => watcher.computeEndpointsAgeMs(),
    isStoreLost: () => watcher.isStoreLost,
    apply: (page, from) => {
      watcher.applyEndpoints(page, from, "store, confirmed");
    },
    applySnapshot: (page) => {
      watcher.applyEndpoints(page, undefined, "store, confirmed");
    },
    onConfirmed: (at) => {
      watcher.confirmEndpointsRead(at);
    },
    clock,
    meter,
    logger,
  });
  const written = { log, versionHistory, historyReader, computeStreamMs, clock, meter, logger };
  const originWriter = new OriginWriter(written);
  const sharedOrigins: SharedOrigins = new SharedOrigins({
    instance,
    origins,
    transport: new PeerOriginTransport(members, transport),
    listMembers: () => members.listLiveMembers(clock.now()),
    publish: (named) => {
      originPublisher.publish(named);
    },
    publishUnknown: (named) => {
      originPublisher.publishUnknown(named);
    },
    clock,
    logger,
  });
  const originPublisher = new OriginPublisher({
    versionHistory,
    computeStreamMs,
    listWriters: () => readerRole.list(clock.now()),
    send: (writer: string, named: NamedOrigin) => {
      if (writer === instance) originWriter.add([named]);
      else sharedOrigins.sendForStore(writer, named);
    },
    clock,
  });
  const storedOrigins = new StoredOrigins({ log, unknown, clock, meter, logger });
  adapter.store.onRestored(() => {
    storedOrigins.onStoreRestored();
  });
  return {
    origins,
    sharedOrigins,
    storedOrigins,
    originWriter,
    originPublisher,
    openQuestions: new OpenQuestions(clock),
    versionHistory,
    historyReader,
    listConfirmer,
  };
}

/** Finds the longest time that a stream of a service may last, in milliseconds. */
function findLongestMs({ watcher }: FleetView, service: string): number {
  const routes = watcher.readConfigIndex()?.config.routes ?? [];
  const streams = routes.filter(
    ({ isStream, services }) => isStream && services.some((one) => one.service === service),
  );
  return Math.max(0, ...streams.map(({ timeoutMs }) => timeoutMs));
}
