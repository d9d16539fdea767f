/**
 * The streams of an instance. Of two streams to the same neighbour one is closed, by rules on which
 * both sides agree.
 */
import type { Clock, Moment } from "../../core/clock";
import type { RelayHello } from "../../peer/gen/fleet";
import { RelayLink } from "./link";
import type { RelayStream } from "./transport";

/**
 * How long a neighbour may be silent until it is lost, in milliseconds: almost three intervals of its
 * messages. With the tick that finds it and the way of the news, all know it within 1.8 s.
 */
const SILENCE_TIMEOUT_MS = 1400;
/** How long after a stream broke off its neighbour may open another one, in milliseconds. */
const RECONNECT_MS = 500;
/** How long a stream may take to open, in milliseconds. */
const OPEN_TIMEOUT_MS = 1500;
/** A pause between two ticks above this is a standstill of this process, in milliseconds. */
const STANDSTILL_MS = 500;

/** The streams of an instance. */
export class LinkTable {
  private links: RelayLink[] = [];
  private readonly lost = new Set<string>();
  private checkedAt: Moment | undefined;

  constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {}

  /** True if a peer has opened a stream to this instance. */
  get hasIncoming(): boolean {
    return this.links.some(({ isOutgoing, peer }) => !isOutgoing && peer !== undefined);
  }

  /** @param address - where the stream leads; empty if the peer opened it */
  add(stream: RelayStream, address: string, now: Moment): RelayLink {
    const link = new RelayLink(stream, address !== "", address, now);
    this.links.push(link);
    return link;
  }

  contains(link: RelayLink): boolean {
    return this.links.includes(link) && link.brokenAt === undefined;
  }

  /** Lists the streams that are open or being opened. */
  listOpen(): readonly RelayLink[] {
    return this.links.filter(({ brokenAt }) => brokenAt === undefined);
  }

  /** Lists the open streams to one neighbour. */
  listOf(instance: string): readonly RelayLink[] {
    return this.listOpen().filter(({ peer }) => peer?.instance === instance);
  }

  /** By neighbour: when it was last heard; with those whose stream has only just broken off. */
  listHeard(now: Moment): ReadonlyMap<string, Moment> {
    const heard = new Map<string, Moment>();
    for (const { peer, lastHeardAt, brokenAt } of this.links) {
      if (peer === undefined || (brokenAt !== undefined && now - brokenAt > RECONNECT_MS)) continue;
      heard.set(peer.instance, Math.max(lastHeardAt, heard.get(peer.instance) ?? lastHeardAt));
    }
    return heard;
  }

  /**
   * Records who is at the other end of a stream, and closes what is superfluous.
   *
   * @returns false if the stream itself is
   */
  identify(link: RelayLink, hello: RelayHello): boolean {
    if (hello.instance === this.self) {
      this.remove(link);
      return false;
    }
    link.peer = hello;
    this.lost.delete(hello.instance);
    for (const other of [...this.links]) {
      if (other === link || other.peer?.instance !== hello.instance) continue;
      if (other.brokenAt !== undefined || other.isOutgoing === link.isOutgoing) {
        this.remove(other);
        continue;
      }
      // The stream that the first by name has opened stays; only its opener closes the other one.
      const outgoing = link.isOutgoing ? link : other;
      if (this.self < hello.instance) continue;
      this.remove(outgoing);
      if (outgoing === link) return false;
    }
    return true;
  }

  /** Records that a stream ended or broke off. */
  recordClosed(link: RelayLink, isGraceful: boolean): void {
    if (!this.links.includes(link)) return;
    if (isGraceful || link.peer === undefined) this.remove(link);
    else link.brokenAt ??= this.clock.now();
  }

  /** Closes a stream. */
  remove(link: RelayLink): void {
    this.links = this.links.filter((other) => other !== link);
    link.stream.close();
  }

  closeAll(): void {
    for (const link of [...this.links]) this.remove(link);
  }

  /**
   * Removes the streams that are silent or broken. The time of a standstill of this process does not
   * count, as what came in it is still unread.
   */
  check(now: Moment): void {
    const standstillMs = now - (this.checkedAt ?? now);
    this.checkedAt = now;
    for (const link of [...this.links]) {
      if (standstillMs > STANDSTILL_MS) {
        link.lastHeardAt = Math.min(now, link.lastHeardAt + standstillMs);
      }
      if (this.isOver(link, now)) {
        this.remove(link);
        if (link.peer !== undefined) this.lost.add(link.peer.instance);
      }
    }
  }

  /** Takes the neighbours that were lost, unless they have another stream. */
  takeLost(now: Moment): readonly string[] {
    const heard = this.listHeard(now);
    const lost = [...this.lost].filter((name) => !heard.has(name));
    this.lost.clear();
    return lost;
  }

  private isOver({ peer, brokenAt, openedAt, lastHeardAt }: RelayLink, now: Moment): boolean {
    if (brokenAt !== undefined) return now - brokenAt > RECONNECT_MS;
    if (peer === undefined) return now - openedAt > OPEN_TIMEOUT_MS;
    return now - lastHeardAt > SILENCE_TIMEOUT_MS;
  }
}
