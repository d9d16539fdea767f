/**
 * Finds how many requests an endpoint takes that has just started or recovered, as the owner of its
 * limit: a window of requests in flight from all instances together. It grows with each answer in the
 * usual time, and is halved when the endpoint rejects or is far slower than others of its service, so
 * that an endpoint is neither overloaded while it warms up nor left idle once it is warm.
 */
import type { Moment } from "../../core/clock";
import { SlidingWindowSum } from "../../core/window";
import type { PermitDecision } from "./accounts";
import type { EndpointProcess } from "./limits";

/** How the sends of an instance to an endpoint ended since it reported last. */
export interface SendOutcomes {
  readonly inTime: number;
  /** Far slower than at other endpoints, or failed. */
  readonly slow: number;
  readonly rejected: number;
  /** Says nothing about the endpoint, such as that the caller left. */
  readonly neutral: number;
}

/** A decision, and whether the endpoint is no longer limited in its pace. */
export interface PaceDecision extends PermitDecision {
  readonly isOver: boolean;
}

/** A hold takes two permits. */
const MIN_WINDOW = 2;
/** How long a send counts as in flight without a report, in milliseconds; its instance may be gone. */
const LEASE_MS = 2000;
/** Shortest time between two reductions, in milliseconds: one burst of rejections counts once. */
const CUT_INTERVAL_MS = 100;
/** Time between two requests to an endpoint that is slow with the smallest window, in milliseconds. */
const PROBE_INTERVAL_MS = 400;
/** What the window grows by for an answer in time, before and after the first reduction. */
const GROWTH = { first: 1, later: 0.5 } as const;
/** Number of outcomes by which an endpoint is judged slow: one alone may be noise. */
const JUDGED_OUTCOMES = 8;
/** An endpoint performs on a par after so many answers in time, over so many milliseconds. */
const PAR = { answers: 8, ms: 700, quietMs: 300 } as const;
const DEFAULT_SLOTS = 16;
/** Longest time that an endpoint is limited in its pace, in milliseconds. */
const MAX_PACED_MS = 30_000;
const RETRY_AFTER_MS = { min: 20, max: 1000 } as const;
const RATE_WINDOW_MS = 1000;
/** Number of accounts above which those that are over are removed. */
const MAX_ACCOUNTS = 1024;

interface PaceAccount {
  readonly processStartedAt: number;
  readonly startedAt: Moment;
  readonly released: SlidingWindowSum;
  readonly denied: SlidingWindowSum;
  /** When the sends in flight were granted, the first one first. */
  leases: Moment[];
  window: number;
  growth: number;
  judged: { slow: number; inTime: number };
  inTimeSinceCut: number;
  cutAt: Moment;
  deniedAt: Moment;
  /** Nothing is granted before; set while the endpoint is slow with the smallest window. */
  probeAt: Moment;
  endedAt: Moment | undefined;
}

/** The windows of the endpoints whose limits this instance owns. */
export class PaceAccounts {
  private readonly accounts = new Map<string, PaceAccount>();

  /**
   * @param readSlots - returns the number of requests that an endpoint runs at once, if it is known
   * @param onChange - called with each change of a window, for the log
   */
  constructor(
    private readonly readSlots: (endpoint: string) => number | undefined = () => undefined,
    private readonly onChange: (endpoint: string, window: number, cause: string) => void = () =>
      undefined,
  ) {}

  /**
   * Grants or denies a number of sends.
   *
   * @param begunAt - when the asker found that the endpoint started or recovered
   */
  grant(process: EndpointProcess, begunAt: Moment, count: number, now: Moment): PaceDecision {
    const account = this.findOrCreate(process, begunAt, now);
    if (account === undefined) return { isGranted: true, retryAfterMs: 0, isOver: true };
    this.removeLapsed(process.endpoint, account, now);
    if (this.isAtPar(process.endpoint, account, now)) {
      account.endedAt = now;
      this.onChange(process.endpoint, account.window, "on a par");
      return { isGranted: true, retryAfterMs: 0, isOver: true };
    }
    const inFlight = account.leases.length;
    // A hold takes two sends; one that finds nothing in flight is granted whatever the window.
    const fits = inFlight === 0 || inFlight + count <= account.window;
    if (count === 0 || (fits && now >= account.probeAt)) {
      for (let sent = 0; sent < count; sent += 1) account.leases.push(now);
      return { isGranted: true, retryAfterMs: 0, isOver: false };
    }
    account.deniedAt = now;
    const retryAfterMs = computeRetryMs(account, count, now);
    account.denied.add(count, now);
    return { isGranted: false, retryAfterMs, isOver: false };
  }

  /** Takes back sends that were granted and are not made. */
  cancel({ endpoint }: EndpointProcess, count: number): void {
    const account = this.accounts.get(endpoint);
    if (account !== undefined) account.leases.length = Math.max(0, account.leases.length - count);
  }

  /** Applies how sends ended. */
  report(
    { endpoint, processStartedAt }: EndpointProcess,
    outcomes: SendOutcomes,
    now: Moment,
  ): void {
    const account = this.accounts.get(endpoint);
    if (account?.processStartedAt !== processStartedAt || account.endedAt !== undefined) return;
    const { inTime, slow, rejected, neutral } = outcomes;
    const ended = Math.min(account.leases.length, inTime + slow + rejected + neutral);
    account.leases.splice(0, ended);
    account.released.add(ended, now);
    if (rejected > 0) this.cut(endpoint, account, "rejected", now);
    this.judge(endpoint, account, inTime, slow, now);
  }

  private judge(
    endpoint: string,
    account: PaceAccount,
    inTime: number,
    slow: number,
    now: Moment,
  ): void {
    const { judged } = account;
    judged.slow += slow;
    judged.inTime += inTime;
    account.inTimeSinceCut += inTime;
    const needed = Math.min(JUDGED_OUTCOMES, Math.max(1, Math.floor(account.window)));
    if (judged.slow * 2 > needed) {
      this.cut(endpoint, account, "slow", now);
      return;
    }
    if (inTime > 0 && judged.slow <= judged.inTime) {
      account.window += inTime * account.growth;
      account.probeAt = now;
    }
    if (judged.slow + judged.inTime >= needed) account.judged = { slow: 0, inTime: 0 };
  }

  private cut(endpoint: string, account: PaceAccount, cause: string, now: Moment): void {
    account.judged = { slow: 0, inTime: 0 };
    if (now - account.cutAt < CUT_INTERVAL_MS) return;
    if (account.window <= MIN_WINDOW) account.probeAt = now + PROBE_INTERVAL_MS;
    account.window = Math.max(MIN_WINDOW, account.window / 2);
    account.growth = GROWTH.later;
    account.inTimeSinceCut = 0;
    account.cutAt = now;
    this.onChange(endpoint, account.window, cause);
  }

  /** Sends whose instance has not reported count as slow: it may be gone, or the endpoint stands still. */
  private removeLapsed(endpoint: string, account: PaceAccount, now: Moment): void {
    const kept = account.leases.filter((at) => now - at < LEASE_MS);
    const lapsed = account.leases.length - kept.length;
    account.leases = kept;
    if (lapsed > 0) this.judge(endpoint, account, 0, lapsed, now);
  }

  private isAtPar(endpoint: string, account: PaceAccount, now: Moment): boolean {
    if (now - account.startedAt >= MAX_PACED_MS) return true;
    if (account.inTimeSinceCut < PAR.answers) return false;
    if (now - Math.max(account.cutAt, account.startedAt) < PAR.ms) return false;
    const isQuiet = now - account.deniedAt >= PAR.quietMs;
    return isQuiet || account.window >= (this.readSlots(endpoint) ?? DEFAULT_SLOTS);
  }

  /** Finds the account of a process that has just started or recovered; undefined if that is over. */
  private findOrCreate(
    { endpoint, processStartedAt }: EndpointProcess,
    begunAt: Moment,
    now: Moment,
  ): PaceAccount | undefined {
    const known = this.accounts.get(endpoint);
    if (known !== undefined && known.processStartedAt >= processStartedAt) {
      if (known.endedAt === undefined) return known;
      if (known.processStartedAt > processStartedAt || begunAt <= known.endedAt) return undefined;
    }
    if (now - begunAt >= MAX_PACED_MS) return undefined;
    if (this.accounts.size >= MAX_ACCOUNTS) this.removeEnded(now);
    const account: PaceAccount = {
      processStartedAt,
      startedAt: now,
      released: new SlidingWindowSum(RATE_WINDOW_MS),
      denied: new SlidingWindowSum(RATE_WINDOW_MS),
      leases: [],
      window: MIN_WINDOW,
      growth: GROWTH.first,
      judged: { slow: 0, inTime: 0 },
      inTimeSinceCut: 0,
      cutAt: Number.NEGATIVE_INFINITY,
      deniedAt: now,
      probeAt: now,
      endedAt: undefined,
    };
    this.accounts.set(endpoint, account);
    return account;
  }

  private removeEnded(now: Moment): void {
    for (const [endpoint, { startedAt }] of this.accounts) {
      if (now - startedAt >= 2 * MAX_PACED_MS) this.accounts.delete(endpoint);
    }
  }
}

/** Computes when a send may be granted, by how many ended and how many were denied of late. */
function computeRetryMs(account: PaceAccount, count: number, now: Moment): number {
  const perMs = Math.max(1, account.released.read(now)) / RATE_WINDOW_MS;
  const waitMs = (count + account.denied.read(now)) / perMs;
  const probeMs = account.probeAt - now;
  return Math.min(RETRY_AFTER_MS.max, Math.max(RETRY_AFTER_MS.min, waitMs, probeMs));
}
