/**
 * An instance, without a network, that watches the list of a feed and takes up streams.
 */
import * as E from "fp-ts/Either";
import { ManualClock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import { EndpointDirectory } from "../../src/fleet/directory";
import { HistoryReader } from "../../src/fleet/historyreader";
import { type FeedPage, StoreError, StoreFault } from "../../src/fleet/store";
import { VersionHistory } from "../../src/fleet/versionhistory";
import { ProcessState } from "../../src/forward/endpoints";
import { TakeUpCheck } from "../../src/forward/generations/takeupcheck";
import { ResumeResolver } from "../../src/forward/generations/resume";
import { type ForwardRequest, Meter } from "../../src/forward/requests";
import { ListConfirmer } from "../../src/forward/shared/listconfirmer";
import { OpenQuestions } from "../../src/forward/shared/openquestions";
import { type NamedOrigin, StreamOrigins } from "../../src/forward/shared/origins";
import { type RecalledOrigin, SharedOrigins } from "../../src/forward/shared/sharedorigins";
import { StoredOrigins } from "../../src/forward/shared/storedorigins";
import { UnknownOrigins } from "../../src/forward/shared/unknownorigins";
import { createEntry, testCodecs } from "./forward";
import { MemoryFeed, MemoryLog } from "./memory";

/** The service of the streams. */
export const SERVICE = "models";
const TIMEOUT_MS = 14_000;

/** A feed that counts reads, answers them only when told to, and ends pages early where a test says. */
export class SlowFeed extends MemoryFeed {
  readCount = 0;
  /** The offset at which the last read began. */
  readFrom = -1;
  pageSize = Number.POSITIVE_INFINITY;
  isHeld = false;
  private held: (() => void)[] = [];

  override read: MemoryFeed["read"] = (from) => async () => {
    this.readCount += 1;
    this.readFrom = from;
    if (from < this.first) return E.left(new StoreError(StoreFault.trimmed, "trimmed"));
    const records = this.records.slice(from, from + this.pageSize);
    const next = { era: this.era, offset: from + records.length };
    const page: FeedPage = { records, next, end: this.records.length };
    if (this.isHeld) await new Promise<void>((resolve) => this.held.push(resolve));
    return this.isDown ? E.left(new StoreError(StoreFault.refused, "down")) : E.right(page);
  };

  release(): void {
    this.isHeld = false;
    for (const resolve of this.held.splice(0)) resolve();
  }
}

/** An instance that has watched the list, and peers that answer as a test says. */
export class WatchingInstance {
  readonly clock = new ManualClock(1000);
  readonly log = new MemoryLog();
  readonly directory = new EndpointDirectory(testCodecs.decodeEndpoint);
  readonly versionHistory = new VersionHistory(500);
  readonly meter = new Meter();
  readonly openQuestions = new OpenQuestions(this.clock);
  recalled: RecalledOrigin | undefined;
  /** What engines answer to the question which of their processes they are. */
  told: ProcessState = ProcessState.same;
  private readonly resolver: ResumeResolver;
  private sequence = 0;
  private lookedAt = 0;

  constructor(readonly feed = new SlowFeed()) {
    const { clock, log, directory, versionHistory, meter } = this;
    const logger = SILENT_LOGGER;
    const decode = testCodecs.decodeEndpoint;
    const { processes } = directory;
    const unknown = new UnknownOrigins({
      ...{ versionHistory, clock, meter, logger },
      computeStreamMs: () => TIMEOUT_MS + 2000,
      readWallClock: () => clock.now(),
    });
    const storedOrigins = new StoredOrigins({ log, unknown, clock, meter, logger });
    const history = { feed, decode, versionHistory, processes, clock, meter, logger };
    this.resolver = new ResumeResolver({
      sharedOrigins: new SharedOrigins({
        instance: "n1",
        origins: new StreamOrigins(),
        transport: {
          remember: () => Promise.resolve(false),
          recall: () => Promise.resolve(this.recalled),
        },
        listMembers: () => ["n1", "n2"].map((instance) => ({ instance, dataCentre: "nizwa" })),
        publish: () => undefined,
        publishUnknown: () => undefined,
        clock,
        logger,
      }),
      storedOrigins,
      directory,
      versionHistory,
      historyReader: new HistoryReader(history),
      listConfirmer: new ListConfirmer({
        ...{ feed, decode, directory, versionHistory, clock, meter, logger },
        computeListAgeMs: () => clock.now() - this.lookedAt,
        isStoreLost: () => false,
        apply: (page, from) =>
          directory.apply(page, clock.now(), { era: page.next.era, offset: from }),
        applySnapshot: (page) => directory.applySnapshot(page, clock.now()),
        onConfirmed: (at) => {
          this.lookedAt = at;
        },
      }),
      takeUpCheck: new TakeUpCheck({
        ...{ directory, clock, readWallClock: () => clock.now() },
        askWriter: () => Promise.resolve({ state: this.told }),
      }),
      openQuestions: this.openQuestions,
      clock,
      readWallClock: () => clock.now(),
      meter,
      logger,
    });
  }

  /** An engine writes an entry; the instance does not read it. */
  put(id: string, version: string, processStartedAt = 1): void {
    this.sequence += 1;
    const more = { service: SERVICE, version, sequence: this.sequence, processStartedAt };
    this.feed.put(id, Buffer.from(JSON.stringify(createEntry(id, `${id}:1`, more))));
  }

  /** An origin of the stream that the caller takes up, begun now at an engine's first process. */
  createOrigin(endpoint: string, version: string): NamedOrigin {
    const stream = { workspace: "", request: "s1" };
    const beganAt = this.clock.now();
    return {
      stream,
      origin: { service: SERVICE, version, endpoint, processStartedAt: 1, beganAt },
    };
  }

  /** Reads the list and observes the versions once a second, as an instance does. */
  watch(seconds: number): void {
    for (let second = 0; second < seconds; second += 1) {
      this.clock.advance(1000);
      const { directory, feed } = this;
      const from = directory.next;
      const records = feed.records.slice(from.offset);
      directory.apply({ records, next: feed.next }, this.clock.now());
      directory.ownReads.record(from.offset, feed.next);
      const seen = { next: directory.next, gaps: directory.gaps, read: directory.ownReads.range };
      this.versionHistory.record(directory.listAll(), this.clock.now(), seen);
      this.lookedAt = this.clock.now();
    }
  }

  /** Observes the versions of the processes that were listed of late, as the maintenance does. */
  observe(): void {
    const { directory, versionHistory, clock } = this;
    const recent = directory.processes.listSince(clock.now() - 1000);
    const seen = { next: directory.next, gaps: directory.gaps, read: directory.ownReads.range };
    versionHistory.record([...directory.listAll(), ...recent], clock.now(), seen);
  }

  /** Takes the list from a peer's page or from a snapshot, and observes the versions. */
  copyList(isSnapshot: boolean): void {
    const { directory, feed, clock } = this;
    const newest = [...new Map(feed.records.map((record) => [record.key, record])).values()];
    if (isSnapshot) {
      const records = newest.filter(({ value }) => value !== undefined);
      directory.applySnapshot({ records, next: feed.next }, clock.now());
    } else directory.apply({ records: newest, next: feed.next }, clock.now());
    const seen = { next: directory.next, gaps: directory.gaps, read: directory.ownReads.range };
    this.versionHistory.record(directory.listAll(), clock.now(), seen);
    this.lookedAt = clock.now();
  }

  /**
   * A caller takes up a stream; tells the version, or the status and the pause of the refusal.
   *
   * @param isNamed - false if the caller names its last event alone
   */
  async takeUp(isNamed = true): Promise<string | (number | undefined)[]> {
    const named = isNamed ? { resumedId: "s1" } : {};
    const head = { id: "again", ...named, lastEventId: "2" };
    const route = { timeoutMs: TIMEOUT_MS, services: [{ service: SERVICE }] };
    const request = { head, route, service: SERVICE } as unknown as ForwardRequest;
    const start = await this.resolver.resolve(request);
    if (E.isLeft(start)) return [start.left.status, start.left.retryAfterMs];
    return start.right.origin?.version ?? "";
  }
}
