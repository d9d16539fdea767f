/**
 * Decides from which peer newer versions are fetched next. One fetch at a time suffices unless it is
 * slow: then a peer that offers newer versions too is asked beside it. What peers offer during a fetch
 * is kept, as the reply may be older than that, or not come.
 */
import type { Beat } from "../peer/gen/fleet";

/** The newer versions that peers offer, and the fetches that are open. */
export class FetchOffers {
  /** The last heartbeat of each peer that had newer versions, by address. */
  private readonly offers = new Map<string, Beat>();
  /** By the address of a peer that is asked: true once its reply is slow. */
  private readonly openFetches = new Map<string, boolean>();

  /** Adds a peer that has newer versions; replaces what it offered before. */
  add(beat: Beat): void {
    this.offers.set(beat.address, beat);
  }

  /**
   * Begins the next fetch, if one is due; forgets offers of what is known by now.
   *
   * @param isNewer - checks whether a peer has versions that are not known here
   * @returns the address to fetch from; undefined if no fetch is due
   * @example
   * const address = offers.begin((beat) => host.shouldFetch(beat));
   */
  begin(isNewer: (beat: Beat) => boolean): string | undefined {
    for (const [address, beat] of this.offers) if (!isNewer(beat)) this.offers.delete(address);
    if ([...this.openFetches.values()].includes(false)) return undefined;
    const address = [...this.offers.keys()].find((offered) => !this.openFetches.has(offered));
    if (address === undefined) return undefined;
    this.offers.delete(address);
    this.openFetches.set(address, false);
    return address;
  }

  /** Marks an open fetch as slow, so that others need not wait for it. */
  markSlow(address: string): void {
    if (this.openFetches.has(address)) this.openFetches.set(address, true);
  }

  /** Ends the fetch from a peer, with a reply or without. */
  end(address: string): void {
    this.openFetches.delete(address);
  }
}
