/**
 * Detects poison requests: requests that crash the endpoints they run on.
 *
 * All requests that ran on an endpoint when it crashed become suspects; those that had only just
 * started there are prime suspects. A crash identifies a suspect as poison if no other suspect ran
 * beside it. Where several suspects ran, they are never run on the same endpoint from then on, so
 * that the next crash identifies one.
 *
 * Seen through a middlebox, such as a proxy, a crash looks like a broken connection. So a crash is
 * first considered likely, and is confirmed or retracted when the endpoint reports again. Meanwhile
 * a likely poison request does not run; its copies are banned only once both crashes are confirmed.
 * Those crashes then count as explained: all other requests that ran through them are cleared.
 */
import type { Moment } from "../clock";
import { CrashCounter, CRASHES_TO_BAN } from "./counter";

/** How long a request that ran through a crash stays suspect, in milliseconds. */
export const SUSPECT_MS = 120_000;
/** How long copies of a poison request are refused, in milliseconds. */
export const BAN_MS = 600_000;

/** A reported crash. */
interface Crash {
  readonly deadline: Moment;
  isConfirmed: boolean;
  /** True once the poison request that caused it is known. */
  isExplained: boolean;
}

interface Suspicion {
  /** True where the request had only just started when one of the crashes happened. */
  readonly isPrime: boolean;
  readonly deadline: Moment;
}

/** A request that was running on a process when it crashed. */
export interface RunningRequest {
  readonly fingerprint: string;
  /** True where the request had only just started there. */
  readonly isNew: boolean;
}

/** A banned poison request, and until when its copies are refused. */
export interface BanEntry {
  readonly fingerprint: string;
  readonly deadline: Moment;
}

/** Tracks suspects, reported crashes and bans. Requests are identified by fingerprint. */
export class PoisonDetector {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly crashes = new CrashCounter(SUSPECT_MS);
  private readonly bans = new Map<string, Moment>();
  private readonly reportedCrashes = new Map<string, Crash>();
  /** Requests identified as poison whose crashes are not all confirmed yet. */
  private readonly likelyPoison = new Set<string>();

  /**
   * Records a crash. Only the first report of a crash takes effect, since it lists all requests
   * that ran.
   *
   * @param process - the crashed process: its endpoint and its incarnation
   * @param running - all requests that were running there
   * @param isConfirmed - false where only broken connections were observed
   * @returns whether the crash was not known yet
   */
  recordCrash(
    process: string,
    running: readonly RunningRequest[],
    now: Moment,
    isConfirmed = true,
  ): boolean {
    if (this.reportedCrashes.has(process)) return false;
    this.reportedCrashes.set(process, {
      deadline: now + SUSPECT_MS,
      isConfirmed,
      isExplained: false,
    });
    const suspected = running
      .map((item) => item.fingerprint)
      .filter((fingerprint) => this.isSuspect(fingerprint, now));
    for (const { fingerprint, isNew } of running) this.addSuspect(fingerprint, process, now, isNew);
    const [suspect] = suspected;
    if (suspected.length !== 1 || suspect === undefined) return true;
    if (!this.crashes.isBanned(suspect, now)) return true;
    this.likelyPoison.add(suspect);
    this.banConfirmed(now);
    return true;
  }

  /** Lists the processes with a reported crash, confirmed or not. */
  listCrashedProcesses(): readonly string[] {
    return [...this.reportedCrashes.keys()];
  }

  /** Confirms a crash: another process runs in the endpoint's place, or none. */
  confirmCrash(process: string, now: Moment): void {
    const crash = this.reportedCrashes.get(process);
    if (crash === undefined || crash.isConfirmed) return;
    crash.isConfirmed = true;
    this.banConfirmed(now);
  }

  /** Retracts a crash: the process still runs, only its connections had broken. */
  retractCrash(process: string, now: Moment): void {
    if (this.reportedCrashes.delete(process)) this.clearProcess(process, now);
  }

  /** Checks whether a request was identified as poison or is banned, and so must not run. */
  isPoison(fingerprint: string, now: Moment): boolean {
    return this.likelyPoison.has(fingerprint) || this.findBan(fingerprint, now) !== undefined;
  }

  /**
   * Marks a request as a suspect because it ran through a crash, without identifying it as poison.
   * Does nothing where the crash is explained.
   */
  addSuspect(fingerprint: string, process: string, now: Moment, isNew = false): void {
    if (this.reportedCrashes.get(process)?.isExplained === true) return;
    const before = this.suspicions.get(fingerprint);
    this.crashes.recordCrash({ fingerprint, process }, now);
    this.suspicions.set(fingerprint, {
      isPrime: isNew || before?.isPrime === true,
      deadline: now + SUSPECT_MS,
    });
  }

  /** Checks whether a suspect had only just started when an endpoint crashed. */
  isPrimeSuspect(fingerprint: string): boolean {
    return this.suspicions.get(fingerprint)?.isPrime === true;
  }

  /** Counts the crashes that a request ran through and that still count. */
  countCrashes(fingerprint: string, now: Moment): number {
    return this.crashes.listProcesses(fingerprint, now).length;
  }

  /** Clears a request that ran to completion. A ban stays in force. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.crashes.clear(fingerprint);
    this.likelyPoison.delete(fingerprint);
  }

  /** Bans a poison request until a deadline; a later deadline already set is kept. */
  ban(fingerprint: string, deadline: Moment): void {
    this.bans.set(fingerprint, Math.max(deadline, this.bans.get(fingerprint) ?? 0));
  }

  /** Checks whether a request is a suspect, and so must not run beside other suspects. */
  isSuspect(fingerprint: string, now: Moment): boolean {
    const suspicion = this.suspicions.get(fingerprint);
    return suspicion !== undefined && suspicion.deadline > now;
  }

  /** Finds until when a request is banned; undefined where it is not. */
  findBan(fingerprint: string, now: Moment): Moment | undefined {
    const deadline = this.bans.get(fingerprint);
    return deadline !== undefined && deadline > now ? deadline : undefined;
  }

  /** Lists the bans in force. */
  listBans(now: Moment): readonly BanEntry[] {
    return [...this.bans]
      .filter(([, deadline]) => deadline > now)
      .map(([fingerprint, deadline]) => ({ fingerprint, deadline }));
  }

  /** Removes expired suspects, crashes and bans. */
  prune(now: Moment): void {
    for (const [fingerprint, suspicion] of this.suspicions) {
      if (suspicion.deadline <= now) this.clear(fingerprint);
    }
    for (const [process, { deadline }] of this.reportedCrashes)
      if (deadline <= now) this.reportedCrashes.delete(process);
    for (const [fingerprint, deadline] of this.bans)
      if (deadline <= now) this.bans.delete(fingerprint);
  }

  private banConfirmed(now: Moment): void {
    for (const fingerprint of this.likelyPoison) {
      const crashed = this.crashes.listProcesses(fingerprint, now);
      const confirmed = crashed.filter(
        (process) => this.reportedCrashes.get(process)?.isConfirmed === true,
      );
      if (confirmed.length < CRASHES_TO_BAN) continue;
      this.ban(fingerprint, now + BAN_MS);
      this.likelyPoison.delete(fingerprint);
      for (const process of confirmed) this.markExplained(process, now);
    }
  }

  private markExplained(process: string, now: Moment): void {
    const crash = this.reportedCrashes.get(process);
    if (crash !== undefined) crash.isExplained = true;
    this.clearProcess(process, now);
  }

  /** Removes the crash of a process from all requests that ran on it. */
  private clearProcess(process: string, now: Moment): void {
    for (const fingerprint of this.crashes.clearProcess(process)) {
      if (this.countCrashes(fingerprint, now) === 0) this.suspicions.delete(fingerprint);
      if (!this.crashes.isBanned(fingerprint, now)) this.likelyPoison.delete(fingerprint);
    }
  }
}
