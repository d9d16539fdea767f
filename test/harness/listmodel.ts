/**
 * Instances without a network that read one list and pass it on, beside a plain record of what the
 * store's log says at each position.
 */
import { ManualClock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import { EndpointDirectory } from "../../src/fleet/directory";
import type { FeedPage } from "../../src/fleet/store";
import { StoreWatcher } from "../../src/fleet/watcher";
import { PeerState, type PeerStateParts } from "../../src/forward/peerstate";
import { Meter } from "../../src/forward/requests";
import { Beat, FetchReply } from "../../src/peer/gen/fleet";
import { createEntry, testCodecs } from "./forward";
import { MemoryFeed } from "./memory";

const BOUNDS = { configMs: 2000, endpointsMs: 2000 };

/** A message or a page that has not arrived yet. */
interface Pending {
  readonly to: number;
  /** The process that it is for; another one at the same place gets nothing. */
  readonly process: ListInstance;
  readonly deliver: () => void;
}

/** One instance's list, and what peers tell of theirs. */
export class ListInstance {
  readonly directory = new EndpointDirectory(testCodecs.decodeEndpoint);
  readonly watcher: StoreWatcher;
  readonly state: PeerState;
  /** Era of the last own read; undefined before the first one. */
  readEra: number | undefined;

  constructor(clock: ManualClock) {
    this.watcher = new StoreWatcher(
      ...([{}, this.directory, testCodecs.decodeConfig, clock, SILENT_LOGGER] as unknown as [
        never,
        EndpointDirectory,
        never,
        ManualClock,
        typeof SILENT_LOGGER,
      ]),
      new Meter(),
      BOUNDS,
      undefined as never,
      () => undefined,
    );
    const { directory, watcher } = this;
    const parts = { clock, directory, watcher, offerFetch: () => undefined };
    this.state = new PeerState(parts as unknown as PeerStateParts);
  }

  /** Lists the processes, by endpoint. */
  list(): string[] {
    return this.directory
      .listAll()
      .map(({ id, processStartedAt }) => `${id}:${processStartedAt}`)
      .sort();
  }
}

/** A step of a play; numbers choose among what there is. */
export interface Step {
  readonly kind:
    | "put"
    | "renew"
    | "remove"
    | "read"
    | "tell"
    | "fetch"
    | "deliver"
    | "restart"
    | "restore"
    | "spoil";
  readonly a: number;
  readonly b: number;
}

/** Plays steps, and compares each list with the log after each of them. */
export class ListModel {
  readonly clock = new ManualClock(100_000);
  readonly feed = new MemoryFeed();
  readonly instances: ListInstance[];
  private pending: Pending[] = [];
  /**
   * Keys that had an entry once: what a list holds of them while their newest entry can't be read, the
   * log doesn't tell.
   */
  private readonly written = new Set<string>();
  private sequence = 0;
  /** The end of the log at each moment, in the present era. */
  private readonly ends = new Map<number, number>();

  constructor(
    count: number,
    private readonly keys: number,
  ) {
    this.instances = Array.from({ length: count }, () => new ListInstance(this.clock));
  }

  play(step: Step): void {
    this.ends.set(this.clock.now(), this.feed.next.offset);
    this.clock.advance(1);
    this.act(step);
  }

  /** Lists what the log says at a position. */
  listAt(offset: number): string[] {
    return [...this.foldAt(offset)].map(([key, start]) => `${key}:${start}`).sort();
  }

  /** Checks whether the log changes a listing between two positions. */
  hasChange(from: number, to: number): boolean {
    for (let offset = from; offset < to; offset += 1)
      if (this.listAt(offset).join() !== this.listAt(offset + 1).join()) return true;
    return false;
  }

  /** The end of the log when an instance's list was last confirmed; undefined if it was not. */
  readConfirmedEnd({ watcher }: ListInstance): number | undefined {
    return this.ends.get(this.clock.now() - watcher.computeEndpointsAgeMs());
  }

  private foldAt(end: number): Map<string, number> {
    const listed = new Map<string, number>();
    for (const { key, value } of this.feed.records.slice(0, end)) {
      if (value === undefined) listed.delete(key);
      else if (value.length > 0)
        listed.set(
          key,
          (JSON.parse(value.toString()) as { processStartedAt: number }).processStartedAt,
        );
    }
    return listed;
  }

  private act({ kind, a, b }: Step): void {
    const key = `e${a % this.keys}`;
    const to = a % this.instances.length;
    const from = b % this.instances.length;
    const current = this.foldAt(this.feed.next.offset).get(key);
    if (kind === "put") this.put(key, this.clock.now());
    if (kind === "renew" && current !== undefined) this.put(key, current);
    if (kind === "remove" && this.hasValue(key)) this.feed.put(key, undefined);
    if (kind === "spoil" && !this.written.has(key)) this.feed.put(key, Buffer.alloc(0));
    if (kind === "read") this.read(to);
    if (kind === "tell" && from !== to) this.tell(from, to);
    if (kind === "fetch" && from !== to) this.fetch(from, to);
    if (kind === "deliver") this.deliver(a);
    if (kind === "restart") this.instances[to] = new ListInstance(this.clock);
    if (kind === "restore") this.restore(b);
  }

  private hasValue(key: string): boolean {
    return this.feed.records.findLast((record) => record.key === key)?.value !== undefined;
  }

  private put(key: string, processStartedAt: number): void {
    this.sequence += 1;
    const entry = createEntry(key, `${key}:1`, { processStartedAt, sequence: this.sequence });
    this.written.add(key);
    this.feed.put(key, Buffer.from(JSON.stringify(entry)));
  }

  /** Begins a read where the list ends, or of a snapshot; its page arrives later. */
  private read(to: number): void {
    const process = this.getInstance(to);
    const { directory, watcher } = process;
    const { era, records, next } = this.feed;
    const startedAt = this.clock.now();
    const isFollowing = process.readEra === era && directory.next.era === era;
    const from = isFollowing ? directory.next.offset : undefined;
    const page: FeedPage = {
      records: from === undefined ? this.listNewest() : records.slice(from),
      next,
    };
    const deliver = () => {
      if (this.feed.era !== era) return;
      process.readEra = era;
      watcher.applyEndpoints(page, from, "store");
      watcher.confirmEndpointsRead(startedAt);
    };
    this.pending.push({ to, process, deliver });
  }

  private listNewest() {
    const newest = new Map(this.feed.records.map((record) => [record.key, record]));
    return [...newest.values()].filter(({ value }) => value !== undefined);
  }

  private tell(from: number, to: number): void {
    const process = this.getInstance(to);
    const head = this.getInstance(from).state.createHead();
    const beat = Beat.decode(
      Beat.encode(Beat.fromPartial({ ...head, instance: `n${from}` })).finish(),
    );
    const sentAt = this.clock.now();
    const deliver = () => {
      process.state.applyHead(beat, sentAt);
    };
    this.pending.push({ to, process, deliver });
  }

  private fetch(from: number, to: number): void {
    const process = this.getInstance(to);
    const reply = this.getInstance(from).state.answerFetch(process.state.createFetchRequest());
    const received = FetchReply.decode(FetchReply.encode(reply).finish());
    const deliver = () => {
      process.state.handleFetchReply(received, `n${from}`);
    };
    this.pending.push({ to, process, deliver });
  }

  private deliver(index: number): void {
    const [arrived] = this.pending.splice(index % Math.max(1, this.pending.length), 1);
    if (arrived?.process === this.instances[arrived?.to ?? -1]) arrived?.deliver();
  }

  /** The store is restored from a copy that lacks its last records; instances learn of it at once. */
  private restore(lost: number): void {
    this.feed.restore(Math.max(0, this.feed.next.offset - lost));
    this.ends.clear();
    for (const { directory } of this.instances) directory.recordStoreRestore(this.clock.now());
  }

  private getInstance(index: number): ListInstance {
    const instance = this.instances[index];
    if (instance === undefined) throw new Error(`no instance ${index}`);
    return instance;
  }
}
