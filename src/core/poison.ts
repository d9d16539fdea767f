/**
 * Finds the request that crashes the endpoints it runs on.
 *
 * Everything that ran on an endpoint when it crashed is suspect, and what had only just begun there
 * is a prime suspect. A crash names a suspect that ran beside no other; where several suspects ran,
 * they are kept strictly apart from then on, so that the next crash names one.
 *
 * Through a middle box a crash looks like a cut connection. So a crash is first held to be likely,
 * and is confirmed or taken back when the endpoint is heard of again: a likely culprit does not run
 * meanwhile, and its copies are refused for long only once both crashes are certain. These are explained
 * then: all others that ran through them are cleared.
 */
import type { Moment } from "./clock";
import { CrashTracker, CRASHES_TO_BAN } from "./crashes";

/** How long a request that ran through a crash stays suspect. */
export const SUSPECT_MS = 120_000;
/** How long copies of a culprit are refused. */
export const BAN_MS = 600_000;

/** A crash that was noted. */
interface Crash {
  readonly deadline: Moment;
  isConfirmed: boolean;
  /** True once its culprit is known. */
  isExplained: boolean;
}

interface Suspicion {
  /** True where it had only just begun when one of them crashed. */
  readonly isPrime: boolean;
  readonly deadline: Moment;
}

/** A request that ran on a process when it crashed. */
export interface RunningRequest {
  readonly fingerprint: string;
  /** True where it had only just begun there. */
  readonly isNew: boolean;
}

/** A culprit and until when its copies are refused. */
export interface BanEntry {
  readonly fingerprint: string;
  readonly deadline: Moment;
}

/** Suspicions and bans, by fingerprint. */
export class PoisonDetector {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly crashes = new CrashTracker(SUSPECT_MS);
  private readonly bans = new Map<string, Moment>();
  private readonly reportedCrashes = new Map<string, Crash>();
  /** Requests named by their second crash. */
  private readonly poisonFingerprints = new Set<string>();

  /**
   * Notes a crash; the first report of it counts, since it names all that ran.
   *
   * @param process - which process crashed: its endpoint and its incarnation
   * @param running - all requests that ran there
   * @param isConfirmed - false where only connections broke
   * @returns whether it was not known yet
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
    const [culprit] = suspected;
    if (suspected.length !== 1 || culprit === undefined) return true;
    if (!this.crashes.isBanned(culprit, now)) return true;
    this.poisonFingerprints.add(culprit);
    this.banConfirmed(now);
    return true;
  }

  /** Lists the processes that are said to have crashed. */
  listCrashedProcesses(): readonly string[] {
    return [...this.reportedCrashes.keys()];
  }

  /** Notes that a process has indeed crashed: another runs in its place, or none. */
  confirmCrash(process: string, now: Moment): void {
    const crash = this.reportedCrashes.get(process);
    if (crash === undefined || crash.isConfirmed) return;
    crash.isConfirmed = true;
    this.banConfirmed(now);
  }

  /** Notes that a process still runs: only its connections had broken. */
  retractCrash(process: string, now: Moment): void {
    if (this.reportedCrashes.delete(process)) this.clearProcess(process, now);
  }

  /** Checks whether a request was named by its second crash and must not run. */
  isPoison(fingerprint: string, now: Moment): boolean {
    return this.poisonFingerprints.has(fingerprint) || this.findBan(fingerprint, now) !== undefined;
  }

  /** Notes that a request ran through a crash, without naming it the culprit. */
  addSuspect(fingerprint: string, process: string, now: Moment, isNew = false): void {
    if (this.reportedCrashes.get(process)?.isExplained === true) return;
    const before = this.suspicions.get(fingerprint);
    this.crashes.recordCrash({ fingerprint, process }, now);
    this.suspicions.set(fingerprint, {
      isPrime: isNew || before?.isPrime === true,
      deadline: now + SUSPECT_MS,
    });
  }

  /** Checks whether a suspect had only just begun when an endpoint crashed. */
  isPrimeSuspect(fingerprint: string): boolean {
    return this.suspicions.get(fingerprint)?.isPrime === true;
  }

  /** Counts the crashes that a request ran through. */
  countCrashes(fingerprint: string, now: Moment): number {
    return this.crashes.listProcesses(fingerprint, now).length;
  }

  /** Clears a request that ran to its end. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.crashes.clear(fingerprint);
    this.poisonFingerprints.delete(fingerprint);
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
      if (suspicion.deadline <= now) this.clear(name);
    }
    for (const [name, { deadline }] of this.reportedCrashes)
      if (deadline <= now) this.reportedCrashes.delete(name);
    for (const [name, deadline] of this.bans) if (deadline <= now) this.bans.delete(name);
  }

  private banConfirmed(now: Moment): void {
    for (const culprit of this.poisonFingerprints) {
      const crashed = this.crashes.listProcesses(culprit, now);
      const confirmed = crashed.filter(
        (process) => this.reportedCrashes.get(process)?.isConfirmed === true,
      );
      if (confirmed.length < CRASHES_TO_BAN) continue;
      this.ban(culprit, now + BAN_MS);
      this.poisonFingerprints.delete(culprit);
      for (const process of confirmed) this.markExplained(process, now);
    }
  }

  private markExplained(process: string, now: Moment): void {
    const crash = this.reportedCrashes.get(process);
    if (crash !== undefined) crash.isExplained = true;
    this.clearProcess(process, now);
  }

  /** Clears all that ran on a process of its crash. */
  private clearProcess(process: string, now: Moment): void {
    for (const fingerprint of this.crashes.retract(process)) {
      if (this.countCrashes(fingerprint, now) === 0) this.suspicions.delete(fingerprint);
      if (!this.crashes.isBanned(fingerprint, now)) this.poisonFingerprints.delete(fingerprint);
    }
  }
}
