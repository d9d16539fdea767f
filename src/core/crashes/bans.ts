/**
 * Banned prompt parts. A ban lapses some time after the last crash with the part; then the part is
 * on probation: one request at a time may try it. A crash bans it again for twice as long, a
 * completed run ends the ban.
 */
import type { Moment } from "../clock";

/** How long the first ban of a part holds after the last crash with it, in milliseconds. */
const BAN_MS = 60_000;
/** Number of bans after which they no longer grow longer. */
const MAX_STRIKES = 6;
/** How long a request on probation may take before another one may try, in milliseconds. */
const TRIAL_MS = 10_000;
const MAX_BANS = 256;
/** Stands for the first crash of a ban whose crashes are not known here. */
const UNKNOWN_CRASH_AT: Moment = -Infinity;

/** A banned part. */
export interface PartBan {
  readonly part: string;
  /** Number of times that it was banned without a completed run in between. */
  readonly strikes: number;
  /** The first crash that decided; minus infinity if a peer told the ban. */
  readonly firstCrashAt: Moment;
  readonly lastCrashAt: Moment;
  /** Whether the part was known to have completed before when it was banned. */
  readonly isTrusted: boolean;
}

/** A ban as an instance tells it to its peers. */
export interface BanReport {
  readonly part: string;
  readonly strikes: number;
  /** Time since the last crash with the part, in milliseconds. */
  readonly lastCrashAgeMs: number;
}

interface Trial {
  readonly fingerprint: string;
  readonly deadline: Moment;
}

/** Banned parts and the requests that try those on probation. */
export class BanList {
  private readonly bans = new Map<string, PartBan>();
  private readonly trials = new Map<string, Trial>();

  /**
   * @param isResponsible - whether this instance, of all, may try a part on probation
   */
  constructor(private readonly isResponsible: (part: string) => boolean) {}

  /** Bans a part for the first time. */
  add(ban: Omit<PartBan, "strikes">): void {
    this.set({ ...ban, strikes: 1 });
  }

  /** Takes over a peer's ban; returns whether it was not known or not for as long. */
  merge({ part, strikes, lastCrashAgeMs }: BanReport, now: Moment): boolean {
    if (strikes <= (this.bans.get(part)?.strikes ?? 0)) return false;
    const lastCrashAt = now - lastCrashAgeMs;
    this.set({ part, strikes, firstCrashAt: UNKNOWN_CRASH_AT, lastCrashAt, isTrusted: true });
    return true;
  }

  /** Records a crash of a request with a part; returns whether it was on probation. */
  recordCrash(part: string, at: Moment): boolean {
    const ban = this.bans.get(part);
    if (ban === undefined || at <= ban.lastCrashAt) return false;
    const hasLapsed = at >= computeDeadline(ban);
    this.set({ ...ban, lastCrashAt: at, strikes: ban.strikes + Number(hasLapsed) });
    if (hasLapsed) this.trials.delete(part);
    return hasLapsed;
  }

  /** Ends the ban of a part. */
  remove(part: string): void {
    this.bans.delete(part);
    this.trials.delete(part);
  }

  find(part: string): PartBan | undefined {
    return this.bans.get(part);
  }

  list(): readonly PartBan[] {
    return [...this.bans.values()];
  }

  /**
   * Reads until when a request may not run because of a part; undefined if it may.
   */
  readDeadline(part: string, fingerprint: string, now: Moment): Moment | undefined {
    const ban = this.bans.get(part);
    if (ban === undefined) return undefined;
    const deadline = computeDeadline(ban);
    if (now < deadline) return deadline;
    if (!this.isResponsible(part)) return now + TRIAL_MS;
    const trial = this.trials.get(part);
    if (trial === undefined || trial.fingerprint === fingerprint) return undefined;
    return now < trial.deadline ? trial.deadline : undefined;
  }

  /** Records that a request begins to try those of its parts that are on probation. */
  beginTrials(parts: readonly string[], fingerprint: string, now: Moment): void {
    for (const part of parts) {
      if (this.bans.has(part)) this.trials.set(part, { fingerprint, deadline: now + TRIAL_MS });
    }
  }

  private set(ban: PartBan): void {
    this.bans.delete(ban.part);
    this.bans.set(ban.part, ban);
    const [oldest] = this.bans.keys();
    if (this.bans.size > MAX_BANS && oldest !== undefined) this.remove(oldest);
  }
}

/**
 * Computes until when a part is banned: longer each time.
 *
 * @example
 * computeDeadline({ ...ban, strikes: 2, lastCrashAt: 1000 }); // 121_000
 */
export function computeDeadline({ strikes, lastCrashAt }: PartBan): Moment {
  return lastCrashAt + BAN_MS * 2 ** (Math.min(strikes, MAX_STRIKES) - 1);
}
