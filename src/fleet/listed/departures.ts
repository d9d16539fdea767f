/**
 * Remembers endpoints that left or said that they leave, also after their entry was removed. An
 * older record of such a process must not bring it back: not from a late writer, and not from a
 * store that was restored from an earlier copy. Peers are told what they may not know.
 */
import type { Moment } from "../../core/clock";
import type { EndpointEntry } from "../entries";

/** What is known of a process that left or is leaving. */
export interface Departure {
  readonly endpoint: string;
  /** When the process started, in milliseconds of the endpoint's wall clock. */
  readonly processStartedAt: number;
  /** Sequence number of the newest entry of the process that is known. */
  readonly sequence: number;
  /** False if the entry was only removed, so that the process returns with a newer one. */
  readonly isLeaving: boolean;
}

/**
 * How long a departure is remembered, in milliseconds; longer than the history that a restored copy
 * of the store may lack.
 */
const MEMORY_MS = 120_000;
/** How long a departure is announced to peers, in milliseconds; covers several heartbeats. */
const ANNOUNCE_MS = 3000;
/**
 * How long all departures are announced after the store was restored, in milliseconds: instances
 * that start meanwhile read its older records.
 */
const RESTORE_ANNOUNCE_MS = 12_000;
/** Maximum number of departures in one heartbeat, which bounds its size. */
const MAX_ANNOUNCED = 64;

interface RememberedDeparture {
  readonly departure: Departure;
  readonly forgetAt: Moment;
  announceDeadline: Moment;
}

/** Remembers departures by endpoint. */
export class DepartureTracker {
  private readonly remembered = new Map<string, RememberedDeparture>();

  /**
   * Records a departure.
   *
   * @param isAnnounced - true if peers may not learn of it otherwise
   * @returns false if nothing new was learned
   */
  record(departure: Departure, isAnnounced: boolean, now: Moment): boolean {
    const known = this.remembered.get(departure.endpoint);
    if (known !== undefined && !isNewer(departure, known.departure)) return false;
    this.remembered.set(departure.endpoint, {
      departure,
      forgetAt: now + MEMORY_MS,
      announceDeadline: isAnnounced ? now + ANNOUNCE_MS : (known?.announceDeadline ?? now),
    });
    return true;
  }

  /** Finds the last departure of an endpoint. */
  find(endpoint: string): Departure | undefined {
    return this.remembered.get(endpoint)?.departure;
  }

  /** Announces all departures again, as the store has lost its newest records. */
  announceAll(now: Moment): void {
    for (const remembered of this.remembered.values()) {
      remembered.announceDeadline = now + RESTORE_ANNOUNCE_MS;
    }
  }

  /** Lists the departures that peers may not know, newest first; forgets old ones. */
  listAnnounced(now: Moment): readonly Departure[] {
    const announced: Departure[] = [];
    for (const [endpoint, { departure, forgetAt, announceDeadline }] of this.remembered) {
      if (forgetAt <= now) this.remembered.delete(endpoint);
      else if (announceDeadline > now) announced.push(departure);
    }
    return announced.reverse().slice(0, MAX_ANNOUNCED);
  }
}

/** Checks whether a departure says more of a process than the known one, or is of a later process. */
function isNewer(departure: Departure, known: Departure): boolean {
  if (departure.processStartedAt !== known.processStartedAt)
    return departure.processStartedAt > known.processStartedAt;
  return departure.sequence > known.sequence || (departure.isLeaving && !known.isLeaving);
}

/**
 * Creates the departure of an endpoint's process.
 *
 * @example
 * createDeparture(entry, true); // the process said that it leaves
 */
export function createDeparture(endpoint: EndpointEntry, isLeaving: boolean): Departure {
  const { id, processStartedAt, sequence } = endpoint;
  return { endpoint: id, processStartedAt, sequence, isLeaving };
}
