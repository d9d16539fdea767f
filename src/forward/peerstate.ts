/**
 * Creates the contents of heartbeats to peers, and applies those received from them.
 */
import { type Clock, computeRemainingMs, type Moment } from "../core/clock";
import type { Logger } from "../core/log";
import type { BeatContent, HeartbeatHost } from "../fleet/heartbeat";
import type { EndpointDirectory } from "../fleet/directory";
import { decodeEvacuation, encodeEvacuation } from "../fleet/evacuationwire";
import { createNumberReport, type RecordFaults } from "../fleet/feeds/faults";
import { isAfter } from "../fleet/position";
import type { RelayHost } from "../fleet/relay/host";
import type { KindState } from "../fleet/relay/own";
import { type OwnedRecord, RecordKind } from "../fleet/relay/records";
import { encodeWork, type Load } from "../fleet/relay/sums";
import { decodeClaim, encodeClaim } from "../fleet/listed/claimwire";
import type { FeedRecord } from "../fleet/store";
import type { StoreWatcher } from "../fleet/watcher";
import { roundAge, roundCount } from "../peer/count";
import {
  Beat,
  type FetchReply,
  type FetchRequest,
  type Record as PeerRecord,
  type RelayHead,
} from "../peer/gen/fleet";
import { checkBeat } from "../peer/numbers";
import type { CrashTracker } from "../core/crashes/tracker";
import { createKindStates } from "./kinds";
import {
  decodeCold,
  decodeLimit,
  decodePaced,
  encodeCold,
  encodeLimit,
  encodePaced,
  type LimitSources,
} from "./limits";
import {
  decodeKnowledge,
  encodeKnowledge,
  type Quotas,
  type RefusalTracker,
  RELAYED_PEERS,
} from "./shared";
import type { PathTracker } from "./tunnels";
import type {
  Arrivals,
  EngineLoadTracker,
  EngineModel,
  ReservationQueue,
  StageLoad,
} from "./engines";

/**
 * Age from which the list of endpoints is fetched from a peer that has a newer one, in
 * milliseconds.
 */
const LIST_STALE_MS = 2000;
/** The version if no configuration is known. */
const NO_VERSION = -1;

/** Dependencies of the peer state. */
export interface PeerStateParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly faults: Pick<RecordFaults, "report">;
  readonly directory: EndpointDirectory;
  readonly watcher: StoreWatcher;
  readonly quotas: Quotas;
  readonly sources: LimitSources;
  readonly crashes: CrashTracker;
  readonly paths: PathTracker;
  readonly refusals: RefusalTracker;
  readonly arrivals: Arrivals;
  readonly engineLoad: EngineLoadTracker;
  readonly engineModel: EngineModel;
  readonly reservations: ReservationQueue;
  readonly isLeaving: () => boolean;
  /** Checks whether the load of a peer comes through relays, so that its heartbeats don't count. */
  readonly isRelayed: (peer: string, now: Moment) => boolean;
  /** Fetches from a peer what is newer there. */
  readonly offerFetch: (beat: Beat) => void;
}

/**
 * Exchanges state with peers: creates heartbeats, applies those of peers, and answers fetch
 * requests.
 */
export class PeerState implements HeartbeatHost, RelayHost {
  constructor(private readonly parts: PeerStateParts) {}

  createBeatContent(): BeatContent {
    const { clock, directory, quotas, sources, crashes, engineLoad, reservations, isLeaving } =
      this.parts;
    const now = clock.now();
    return {
      ...this.createHead(),
      leaving: isLeaving(),
      usages: [...quotas.listLocalUsage()],
      works: engineLoad.listLocalWork().map(encodeWork),
      ...encodeKnowledge(crashes.listKnowledge(now)),
      endpointLimits: sources.limits.list(now).map((word) => encodeLimit(word, now)),
      coldEndpoints: sources.cold.list(now).map((word) => encodeCold(word, now)),
      pacedEndpoints: (sources.pacing?.list(now) ?? []).map((word) => encodePaced(word, now)),
      lostEndpoints: [...this.parts.paths.listLost()],
      ...this.encodeEvacuations(),
      tellsEvacuations: true,
      arrivingTokens: roundCount(this.parts.arrivals.computeLocalRate(now)),
      engineSpeeds: [...this.parts.engineModel.listLocalEstimates()],
      waiting: roundCount(reservations.size),
      refused: [...this.parts.refusals.listLocalRefusals(now)],
      departures: directory.listAnnouncedDepartures(now).map((departure) => ({
        endpoint: departure.endpoint,
        processStartedAt: departure.processStartedAt,
        sequence: departure.sequence,
        leaving: departure.isLeaving,
      })),
      absences: engineLoad.listOrderAbsences(now).map(({ engine, deadline }) => ({
        engine,
        remainingMs: computeRemainingMs(deadline, now),
      })),
    };
  }

  handleBeat(received: Beat, now: Moment, sentAt: Moment | undefined): void {
    const { quotas, engineLoad, arrivals, reservations, isRelayed, faults } = this.parts;
    const beat = checkBeat(received, createNumberReport(faults, received.instance));
    const { instance, incarnation, arrivingTokens } = beat;
    if (!isRelayed(instance, now)) {
      quotas.applyPeerUsage(instance, incarnation, beat.usages);
      engineLoad.replacePeerWork(instance, beat.works, now);
      arrivals.recordPeer(instance, arrivingTokens, now);
    }
    this.parts.paths.applyPeerLost(instance, beat.lostEndpoints, now);
    this.applyKinds(instance, beat, { limitsAt: sentAt ?? now, at: now }, now);
    this.applyEvacuations(beat, instance);
    if (sentAt !== undefined) this.confirmCopies(beat, sentAt);
    reservations.dispatchWaiting();
  }

  createHead(): RelayHead {
    const { directory, watcher } = this.parts;
    return {
      configVersion: this.readConfigVersion(),
      ...encodeClaim(directory.claim),
      evacuated: [...watcher.evacuations.listEvacuated()],
      ...watcher.readReport(),
      tellsEvacuations: true,
    };
  }

  applyHead(beat: Beat, sentAt: Moment | undefined): void {
    if (sentAt !== undefined) this.confirmCopies(beat, sentAt);
    this.parts.offerFetch(beat);
  }

  listKinds(now: Moment): readonly KindState[] {
    return createKindStates(this.createBeatContent(), now);
  }

  applyRecord({ instance, kind, content, writtenAt }: OwnedRecord, now: Moment): void {
    const onFault = createNumberReport(this.parts.faults, instance);
    const beat = checkBeat(Beat.decode(content), onFault);
    this.applyKinds(instance, beat, { limitsAt: writtenAt, at: writtenAt }, now);
    if (kind === RecordKind.lostEndpoints) {
      this.parts.paths.applyPeerLost(instance, beat.lostEndpoints, now);
    }
    if (kind === RecordKind.evacuations) this.applyEvacuations(beat, instance);
  }

  readLoad(now: Moment): Load {
    const { engineLoad, quotas, arrivals, reservations } = this.parts;
    return {
      works: new Map(engineLoad.listLocalWork().map((work) => [work.engine, work])),
      usages: new Map(quotas.listLocalUsage().map(({ workspace, cost }) => [workspace, cost])),
      arrivingTokens: Math.round(arrivals.computeLocalRate(now)),
      waiting: reservations.size,
    };
  }

  applyPeerLoad({ works, usages, arrivingTokens }: Load, now: Moment): void {
    const { quotas, engineLoad, arrivals, reservations } = this.parts;
    engineLoad.replacePeerWork(RELAYED_PEERS, [...works.values()], now);
    const counts = [...usages].map(([workspace, cost]) => ({ workspace, cost }));
    quotas.applyPeerUsage(RELAYED_PEERS, "", counts);
    arrivals.recordPeer(RELAYED_PEERS, arrivingTokens, now);
    reservations.dispatchWaiting();
  }

  shouldFetch(beat: Beat): boolean {
    const { next } = this.parts.directory;
    if (beat.configVersion > this.readConfigVersion()) return true;
    const claim = decodeClaim(beat);
    if (this.parts.directory.isMissing(claim.lastChange)) return true;
    const isStale = this.parts.watcher.computeEndpointsAgeMs() > LIST_STALE_MS;
    return isStale && isAfter(claim.next, next);
  }

  createFetchRequest(): FetchRequest {
    const { era, offset } = this.parts.directory.next;
    return {
      configVersion: this.readConfigVersion(),
      endpointsNext: offset,
      endpointsEra: era,
    };
  }

  handleFetchReply(reply: FetchReply, from: string): void {
    const { watcher, directory } = this.parts;
    const source = `peer ${from}`;
    this.applyEvacuations(reply, from);
    if (reply.config !== undefined) watcher.applyConfig(Buffer.from(reply.config), source);
    if (reply.sinceOutageMs !== undefined) {
      directory.recordStoreRecovery(this.parts.clock.now() - reply.sinceOutageMs);
    }
    const records = reply.endpoints.map(({ key, value, offset, era }) => ({
      key,
      value: value === undefined ? undefined : Buffer.from(value),
      position: { era, offset },
    }));
    watcher.applyPeerEndpoints(records, decodeClaim(reply), source);
  }

  /**
   * Answers the fetch request of a peer, such as one that can't reach the store: sends the
   * configuration and the list of endpoints where they are newer.
   */
  answerFetch(request: FetchRequest): FetchReply {
    const { watcher, directory } = this.parts;
    const isConfigNewer = this.readConfigVersion() > request.configVersion;
    const value = isConfigNewer ? watcher.readConfigValue() : undefined;
    const { next } = directory;
    const requested = { era: request.endpointsEra, offset: request.endpointsNext };
    const isListNewer = isAfter(next, requested);
    return {
      ...(value === undefined ? {} : { config: value }),
      endpoints: isListNewer ? directory.listRecords().map(encodeRecord) : [],
      ...encodeClaim(directory.claim),
      ...this.readOutageReport(),
      ...this.encodeEvacuations(),
    };
  }

  /**
   * Computes the load of a service's stages from the usable engines and the prompt tokens that
   * arrive at all live instances.
   */
  readStageLoad(service: string): StageLoad {
    const { clock, arrivals, reservations } = this.parts;
    const now = clock.now();
    const promptTokensPerSecond = arrivals.computeLocalRate(now) + arrivals.computePeerRate(now);
    const engines = reservations.listViews(service, now).map((view) => view.endpoint);
    const tokensPerMs = this.parts.engineModel.readTokensPerMs(service, now);
    return { engines, promptTokensPerSecond, tokensPerMs };
  }

  /** Applies the fields of a heartbeat that are merged with what is known. */
  private applyKinds(
    peer: string,
    beat: Beat,
    { limitsAt, at }: { readonly limitsAt: Moment; readonly at: Moment },
    now: Moment,
  ): void {
    const { engineLoad, engineModel, crashes } = this.parts;
    engineModel.replacePeerEstimates(peer, beat.engineSpeeds, now);
    for (const { engine, remainingMs } of beat.absences) {
      engineLoad.markAbsent(engine, at + remainingMs);
    }
    this.parts.refusals.mergePeerRefusals(beat.refused, now);
    this.applyDepartures(beat, now, peer);
    this.applyLimits(beat, limitsAt, peer);
    crashes.mergeKnowledge(decodeKnowledge(beat), at);
  }

  /** Confirms the copies that hold all that a peer's copies hold, as of the peer's last knowledge. */
  private confirmCopies(beat: Beat, sentAt: Moment): void {
    const { watcher } = this.parts;
    const { configAgeMs, endpointsAgeMs } = beat;
    // A copy confirms another one only if both say the same: an older build has no evacuations, and a
    // snapshot has no withdrawals.
    const hasConfig =
      beat.tellsEvacuations &&
      watcher.evacuations.isSame(beat.evacuated) &&
      beat.configVersion >= 0 &&
      beat.configVersion <= this.readConfigVersion();
    if (hasConfig && configAgeMs !== undefined) watcher.confirmConfig(sentAt - configAgeMs);
    if (endpointsAgeMs !== undefined) {
      watcher.confirmEndpoints(decodeClaim(beat), sentAt - endpointsAgeMs);
    }
  }

  private readOutageReport(): Pick<FetchReply, "sinceOutageMs"> {
    const { directory, clock } = this.parts;
    return { sinceOutageMs: roundAge(directory.computeSinceOutageMs(clock.now())) };
  }

  private applyDepartures({ departures }: Beat, now: Moment, peer: string): void {
    const { directory, logger } = this.parts;
    const learned = directory.applyDepartures(
      departures.map(({ leaving, ...departure }) => ({ ...departure, isLeaving: leaving })),
      now,
    );
    for (const endpoint of learned) {
      logger.info("endpoint leaving", { endpoint, source: `peer ${peer}` });
    }
  }

  private applyLimits(beat: Beat, sentAt: Moment, peer: string): void {
    const { endpointLimits, coldEndpoints, pacedEndpoints } = beat;
    const { sources, clock, logger } = this.parts;
    const source = `peer ${peer}`;
    for (const limit of endpointLimits) {
      if (!sources.limits.record(decodeLimit(limit, sentAt))) continue;
      const { endpoint, perSecond } = limit;
      logger.info("endpoint limit", { endpoint, perSecond, source });
    }
    for (const paced of pacedEndpoints) {
      sources.pacing?.recordPeer(decodePaced(paced, sentAt), clock.now());
    }
    for (const cold of coldEndpoints) {
      if (!sources.cold.record(decodeCold(cold, sentAt), clock.now())) continue;
      const { endpoint, remainingMs } = cold;
      logger.info("endpoint cold", { endpoint, remainingMs, source });
    }
  }

  private encodeEvacuations(): Pick<FetchReply, "evacuations"> {
    return { evacuations: this.parts.watcher.evacuations.list().map(encodeEvacuation) };
  }

  private applyEvacuations({ evacuations }: Pick<FetchReply, "evacuations">, from: string): void {
    this.parts.watcher.applyEvacuations(evacuations.map(decodeEvacuation), `peer ${from}`);
  }

  private readConfigVersion(): number {
    return this.parts.watcher.readConfigIndex()?.config.version ?? NO_VERSION;
  }
}

function encodeRecord({ key, value, position }: FeedRecord): PeerRecord {
  return { key, value, offset: position.offset, era: position.era };
}
