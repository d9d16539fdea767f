/**
 * Chooses the instance that decides for the whole fleet on one subject, such as an account. Each
 * instance chooses for itself, by rendezvous hashing among the instances that it takes for live.
 */
import type { Clock, Moment } from "../core/clock";
import { chooseByRendezvousHash } from "../core/rendezvous";

/**
 * How long an owner that did not answer is not asked, in milliseconds; until about then the
 * instance is either heard again or taken for lost.
 */
const SILENT_OWNER_MS = 1000;
/** How long a chosen owner is kept, in milliseconds, as choosing costs a hash for each instance. */
const OWNER_TTL_MS = 200;
/** Number of subjects whose owners are kept; more than one instance asks for within their time. */
const MAX_KEPT_OWNERS = 4096;

interface KeptOwner {
  readonly instance: string;
  readonly expiresAt: Moment;
}

/** Chooses owners of subjects, and passes over those that did not answer. */
export class OwnerChooser {
  private readonly owners = new Map<string, KeptOwner>();
  private readonly silentDeadlines = new Map<string, Moment>();

  /** @param listLive - lists the live instances, including this one */
  constructor(
    private readonly self: string,
    private readonly listLive: () => readonly string[],
    private readonly clock: Clock,
  ) {}

  /** Chooses the owner of a subject. */
  choose(subject: string): string {
    const now = this.clock.now();
    const known = this.owners.get(subject);
    if (known !== undefined && known.expiresAt > now) return known.instance;
    const instance = chooseByRendezvousHash(subject, [...this.listLive()].sort()) ?? this.self;
    if (this.owners.size >= MAX_KEPT_OWNERS) this.owners.clear();
    this.owners.set(subject, { instance, expiresAt: now + OWNER_TTL_MS });
    return instance;
  }

  /** Records that an owner did not answer. */
  recordSilence(owner: string): void {
    this.silentDeadlines.set(owner, this.clock.now() + SILENT_OWNER_MS);
  }

  /** True while an owner is not asked, as it did not answer. */
  isSilent(owner: string): boolean {
    const deadline = this.silentDeadlines.get(owner);
    if (deadline === undefined) return false;
    if (deadline > this.clock.now()) return true;
    this.silentDeadlines.delete(owner);
    return false;
  }
}
