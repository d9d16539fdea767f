/**
 * Opens the streams that an instance wants, and closes those that it no longer wants. Without any
 * neighbour it tries the addresses it knows; a relay also tries addresses that nobody hears, so that
 * the sides of a partition find each other again.
 */
import type { Moment } from "../../core/clock";
import type { MemberIdentity, MemberList } from "../members";
import type { Topology } from "./choice";
import type { LinkTable } from "./links";

/** Delay after which an address is tried again, in milliseconds. */
const RETRY_MS = 500;
/**
 * How long the second by name of two relays waits for the first one to open the stream, in
 * milliseconds.
 */
const SECOND_OPENS_MS = 700;
/** How long a stream is kept after it is no longer wanted, in milliseconds; views may change back. */
const UNWANTED_TTL_MS = 5000;
/** Number of addresses that are tried at once by an instance without neighbours. */
const FIRST_DIALS = 2;
/** Delay until another address without neighbours is tried, in milliseconds. */
const SEARCH_INTERVAL_MS = 300;
/** Interval at which a relay tries an address that is not heard, in milliseconds. */
const PROBE_INTERVAL_MS = 1000;

/** Dependencies of the dialler. */
export interface DiallerParts {
  readonly self: MemberIdentity;
  readonly members: MemberList;
  readonly links: LinkTable;
  readonly listSeeds: () => readonly string[];
  readonly random: () => number;
  readonly open: (address: string) => void;
}

/** Opens and closes streams. */
export class Dialler {
  private readonly triedAt = new Map<string, Moment>();
  private readonly wantedSince = new Map<string, Moment>();
  private searchAt: Moment = Number.NEGATIVE_INFINITY;
  private probeAt: Moment = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: DiallerParts) {}

  /** Opens and closes what is due. */
  dial(topology: Topology, now: Moment): void {
    this.dialNeighbours(topology, now);
    this.closeUnwanted(topology, now);
    const { links } = this.parts;
    const hasNeighbour = links.listOpen().some(({ peer }) => peer !== undefined);
    if (!hasNeighbour) this.search(now);
    else if (topology.isRelay) this.probe(now);
    for (const [address, at] of this.triedAt) {
      if (now - at > UNWANTED_TTL_MS) this.triedAt.delete(address);
    }
  }

  private dialNeighbours({ isRelay, neighbours, relayNames }: Topology, now: Moment): void {
    const { links, members, self } = this.parts;
    for (const name of this.wantedSince.keys()) {
      if (!neighbours.includes(name)) this.wantedSince.delete(name);
    }
    for (const name of neighbours) {
      const since = this.wantedSince.get(name) ?? now;
      this.wantedSince.set(name, since);
      if (links.listOf(name).length > 0) continue;
      const isSecond = isRelay && relayNames.has(name) && self.instance > name;
      if (isSecond && now - since < SECOND_OPENS_MS) continue;
      const address = members.findAddress(name);
      if (address !== undefined) this.tryAddress(address, now);
    }
  }

  private closeUnwanted({ neighbours }: Topology, now: Moment): void {
    const { links } = this.parts;
    for (const link of links.listOpen()) {
      if (!link.isOutgoing || link.peer === undefined) continue;
      if (neighbours.includes(link.peer.instance)) link.unwantedSince = undefined;
      else link.unwantedSince ??= now;
      if (now - (link.unwantedSince ?? now) > UNWANTED_TTL_MS) links.remove(link);
    }
  }

  /** Tries some of the known addresses, in random order, those from the settings first. */
  private search(now: Moment): void {
    if (now < this.searchAt) return;
    this.searchAt = now + SEARCH_INTERVAL_MS;
    const { listSeeds, members } = this.parts;
    const seeds = this.shuffle(listSeeds());
    const others = this.shuffle(members.listAddresses().filter((name) => !seeds.includes(name)));
    let dialled = 0;
    for (const address of [...seeds, ...others]) {
      if (dialled === FIRST_DIALS) return;
      if (this.tryAddress(address, now)) dialled += 1;
    }
  }

  /** Tries one address at which no live instance is known. */
  private probe(now: Moment): void {
    if (now < this.probeAt) return;
    this.probeAt = now + PROBE_INTERVAL_MS * (1 + this.parts.random());
    const { listSeeds, members } = this.parts;
    const live = members.listLiveAddresses(now);
    const unheard = [...new Set([...listSeeds(), ...members.listAddresses()])].filter(
      (address) => !live.has(address),
    );
    const [address] = this.shuffle(unheard);
    if (address !== undefined) this.tryAddress(address, now);
  }

  private tryAddress(address: string, now: Moment): boolean {
    const { self, links, open } = this.parts;
    if (address === self.address) return false;
    if (now - (this.triedAt.get(address) ?? Number.NEGATIVE_INFINITY) < RETRY_MS) return false;
    if (links.listOpen().some((link) => link.address === address)) return false;
    this.triedAt.set(address, now);
    open(address);
    return true;
  }

  private shuffle(addresses: readonly string[]): readonly string[] {
    return addresses
      .map((address) => ({ address, order: this.parts.random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ address }) => address);
  }
}
