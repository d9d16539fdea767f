/**
 * Finds the request that crashes the endpoints it runs on.
 *
 * Everything that ran on an endpoint when it crashed is suspect. A suspect runs again only beside
 * no other suspect, so that a second crash names the culprit.
 */
import type { Moment } from "./clock";

/** How long a request that ran through a crash stays suspect. */
export const SUSPECT_MS = 120_000;
/** How long copies of a culprit are refused. */
export const BAN_MS = 600_000;
const CRASHES_TO_BAN = 2;

interface Suspicion {
  /** The crashed processes that it ran on. */
  readonly crashes: ReadonlySet<string>;
  readonly deadline: Moment;
}

/** A culprit and until when its copies are refused. */
export interface BanEntry {
  readonly fingerprint: string;
  readonly deadline: Moment;
}

/** Suspicions and bans, by fingerprint. */
export class Suspects {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly bans = new Map<string, Moment>();
  private readonly noted = new Map<string, Moment>();

  /**
   * Notes a crash; the first report of it counts, since it names all that ran.
   *
   * @param process - which process crashed: its endpoint and its incarnation
   * @param fingerprints - all requests that ran there
   */
  noteCrash(process: string, fingerprints: readonly string[], now: Moment): void {
    if (this.noted.has(process)) return;
    this.noted.set(process, now + SUSPECT_MS);
    const suspected = fingerprints.filter((fingerprint) => this.isSuspect(fingerprint, now));
    for (const fingerprint of fingerprints) this.suspect(fingerprint, process, now);
    const [culprit] = suspected;
    if (suspected.length !== 1 || culprit === undefined) return;
    if (this.countCrashes(culprit) >= CRASHES_TO_BAN) this.ban(culprit, now + BAN_MS);
  }

  /** Notes that a request ran through a crash, without naming it the culprit. */
  suspect(fingerprint: string, process: string, now: Moment): void {
    const before = this.suspicions.get(fingerprint)?.crashes ?? new Set<string>();
    this.suspicions.set(fingerprint, {
      crashes: new Set(before).add(process),
      deadline: now + SUSPECT_MS,
    });
  }

  /** Counts the crashes that a request ran through. */
  countCrashes(fingerprint: string): number {
    return this.suspicions.get(fingerprint)?.crashes.size ?? 0;
  }

  /** Clears a request that ran to its end. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** Refuses copies of a culprit until a deadline. */
  ban(fingerprint: string, deadline: Moment): void {
    this.bans.set(fingerprint, Math.max(deadline, this.bans.get(fingerprint) ?? 0));
  }

  /** Checks whether a request must not run beside other suspects. */
  isSuspect(fingerprint: string, now: Moment): boolean {
    const suspicion = this.suspicions.get(fingerprint);
    return suspicion !== undefined && suspicion.deadline > now;
  }

  /** Finds until when copies of a request are refused. */
  findBan(fingerprint: string, now: Moment): Moment | undefined {
    const deadline = this.bans.get(fingerprint);
    return deadline !== undefined && deadline > now ? deadline : undefined;
  }

  /** Lists the culprits that are still refused. */
  listBans(now: Moment): readonly BanEntry[] {
    return [...this.bans]
      .filter(([, deadline]) => deadline > now)
      .map(([fingerprint, deadline]) => ({ fingerprint, deadline }));
  }

  /** Forgets what has lapsed. */
  prune(now: Moment): void {
    for (const [name, suspicion] of this.suspicions) {
      if (suspicion.deadline <= now) this.suspicions.delete(name);
    }
    for (const [name, deadline] of this.noted) if (deadline <= now) this.noted.delete(name);
    for (const [name, deadline] of this.bans) if (deadline <= now) this.bans.delete(name);
  }
}
