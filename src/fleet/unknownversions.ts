/**
 * Remembers until when processes of unknown version began streams of a service: the list names another version for their
 * engines, so what it says does not tell which versions the service had.
 */
import type { Moment } from "../core/clock";

/** Maximum number of services that are remembered; more than a configuration names. */
const MAX_SERVICES = 1024;

interface UnknownVersion {
  /** When such a process was there last. */
  readonly seenAt: Moment;
  readonly forgetAt: Moment;
}

/** The services at which processes of unknown version were. */
export class UnknownVersions {
  /** In the order in which they were recorded last. */
  private readonly services = new Map<string, UnknownVersion>();

  /**
   * Records that a process of unknown version was there.
   *
   * @param seenAt - until when it is known to have been there
   * @param forgetAt - from when on no stream that began by then can be taken up
   */
  record(service: string, seenAt: Moment, forgetAt: Moment): void {
    const known = this.services.get(service);
    this.services.delete(service);
    this.services.set(service, {
      seenAt: Math.max(seenAt, known?.seenAt ?? seenAt),
      forgetAt: Math.max(forgetAt, known?.forgetAt ?? forgetAt),
    });
    const [oldest] = this.services.keys();
    if (this.services.size > MAX_SERVICES && oldest !== undefined) this.services.delete(oldest);
  }

  /**
   * Checks whether such a process was there within a time.
   *
   * @param forMs - the time up to now, in milliseconds
   * @example
   * unknownVersions.hasSeen("models", 16_000, clock.now());
   */
  hasSeen(service: string, forMs: number, now: Moment): boolean {
    const known = this.services.get(service);
    return known !== undefined && now - known.seenAt <= forMs;
  }

  /** Forgets what is not needed any more. */
  removeOld(now: Moment): void {
    for (const [service, { forgetAt }] of this.services) {
      if (now > forgetAt) this.services.delete(service);
    }
  }

  /** Number of services that are remembered. */
  get size(): number {
    return this.services.size;
  }
}
