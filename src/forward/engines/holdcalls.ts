/**
 * Asks decode engines for holds. An engine that stands still may grant a hold long after its caller
 * stopped waiting: the answer is read all the same, and a hold that comes late is released.
 */
import * as E from "fp-ts/Either";
import type { Moment } from "../../core/clock";
import { ReadFirstTimer } from "../../core/readfirst";
import { runTask } from "../../core/tasks";
import type { EndpointEntry } from "../../fleet/entries";
import type { ForwardContext } from "../endpoints";

/** How long a generation waits for the answer to one call, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500;
/** Maximum number of calls to one engine that are open though nobody waits for their answers. */
const MAX_LATE_CALLS = 2;
/** A hold is followed by its run or its release, which must be possible too. */
const HOLD_PERMITS = 2;

/** A hold that an engine has granted. */
export interface GrantedHold {
  readonly endpoint: EndpointEntry;
  readonly hold: string;
  /** When the engine drops the hold by itself. */
  readonly expiresAt: Moment;
}

/** Memory that is asked for. */
export interface HoldDemand {
  readonly needTokens: number;
  /** How long the engine keeps the hold, in milliseconds. */
  readonly holdTtlMs: number;
}

/** How a call for a hold ended. */
export const HoldEnd = {
  granted: "granted",
  /** The engine has no room. */
  refused: "refused",
  /** Another process answered at the engine's address. */
  misdirected: "misdirected",
  /** The engine failed the call, or did not answer in time. */
  failed: "failed",
  /** The call was not made, which says nothing about the engine. */
  unsent: "unsent",
} as const;
export type HoldEnd = (typeof HoldEnd)[keyof typeof HoldEnd];

/** The result of a call for a hold. */
export interface HoldAnswer {
  readonly end: HoldEnd;
  /** Undefined unless one was granted. */
  readonly granted: GrantedHold | undefined;
  /** For the log. */
  readonly message: string;
}

/**
 * Makes the calls for holds, one at a time for an engine, so that the result of each is known before
 * the next. A call that is lost keeps no generation from asking again; an engine that stands still is
 * asked for few holds, as it may grant them all at once.
 *
 * @example
 * const { granted } = await holdCaller.request(engine, { needTokens: 3400, holdTtlMs: 2000 });
 * if (granted !== undefined) holdCaller.release(granted);
 */
export class HoldCaller {
  /** Engines whose answer is waited for. */
  private readonly enginesInCall = new Set<string>();
  /** Number of open calls that nobody waits for, by engine. */
  private readonly lateCalls = new Map<string, number>();

  constructor(private readonly context: ForwardContext) {}

  /** True while an engine is asked for no further hold, as its answers are outstanding. */
  isInCall(engineId: string): boolean {
    return this.enginesInCall.has(engineId) || this.countLate(engineId) >= MAX_LATE_CALLS;
  }

  /** Asks an engine for a hold; resolves in time also if the engine does not answer. */
  async request(endpoint: EndpointEntry, demand: HoldDemand): Promise<HoldAnswer> {
    this.enginesInCall.add(endpoint.id);
    const answer = this.call(endpoint, demand);
    const inTime = await waitInTime(answer);
    this.enginesInCall.delete(endpoint.id);
    if (inTime !== undefined) return inTime;
    this.addLate(endpoint.id, 1);
    void runTask("drop a late hold", this.context.logger, async () => {
      const late = await answer;
      this.addLate(endpoint.id, -1);
      this.dropLate(endpoint, demand, late);
    });
    return createAnswer(HoldEnd.failed, `no answer within ${ANSWER_TIMEOUT_MS} ms`);
  }

  /** Releases a hold that is not used. */
  release({ endpoint, hold, expiresAt }: GrantedHold): void {
    const { releaser, codec } = this.context;
    const call = codec.createReleaseHoldCall(endpoint, hold);
    releaser.release({ target: endpoint, call, expiresAt, permits: 0 });
  }

  /** Makes the call, and waits for the answer until a hold that was granted at once has expired. */
  private async call(endpoint: EndpointEntry, demand: HoldDemand): Promise<HoldAnswer> {
    try {
      return await this.exchange(endpoint, demand);
    } catch (error) {
      this.context.logger.error("call for a hold threw", {
        engine: endpoint.id,
        error: String(error),
      });
      return createAnswer(HoldEnd.failed, String(error));
    }
  }

  private async exchange(
    endpoint: EndpointEntry,
    { needTokens, holdTtlMs }: HoldDemand,
  ): Promise<HoldAnswer> {
    const { client, codec, clock } = this.context;
    const expiresAt = clock.now() + holdTtlMs;
    const call = codec.createReserveHoldCall(endpoint, needTokens, holdTtlMs);
    const timeoutMs = Math.max(ANSWER_TIMEOUT_MS, holdTtlMs);
    const response = await client.call(endpoint, call, timeoutMs, HOLD_PERMITS);
    if (E.isLeft(response)) {
      const { isLocal, message } = response.left;
      return createAnswer(isLocal ? HoldEnd.unsent : HoldEnd.failed, message);
    }
    const { status, body } = response.right;
    const message = `the engine answered ${status}`;
    const hold = codec.readHold(status, body);
    if (hold !== undefined) {
      return { end: HoldEnd.granted, granted: { endpoint, hold, expiresAt }, message };
    }
    const isMisdirected = codec.isMisdirected(status);
    return createAnswer(isMisdirected ? HoldEnd.misdirected : HoldEnd.refused, message);
  }

  private countLate(engineId: string): number {
    return this.lateCalls.get(engineId) ?? 0;
  }

  private addLate(engineId: string, change: 1 | -1): void {
    const count = this.countLate(engineId) + change;
    if (count > 0) this.lateCalls.set(engineId, count);
    else this.lateCalls.delete(engineId);
  }

  private dropLate(
    endpoint: EndpointEntry,
    { holdTtlMs }: HoldDemand,
    { granted, message }: HoldAnswer,
  ): void {
    const { clock, logger } = this.context;
    const isReleased = granted !== undefined;
    logger.info("late answer to a call for a hold", { engine: endpoint.id, message, isReleased });
    // The engine may have granted it just now.
    if (granted !== undefined) this.release({ ...granted, expiresAt: clock.now() + holdTtlMs });
  }
}

/** Waits for an answer; resolves with undefined if it takes too long. */
function waitInTime(answer: Promise<HoldAnswer>): Promise<HoldAnswer | undefined> {
  return new Promise((resolve, reject) => {
    const timer = new ReadFirstTimer(ANSWER_TIMEOUT_MS, () => {
      resolve(undefined);
    });
    const close = () => {
      timer.close();
    };
    answer.then(resolve, reject).finally(close);
  });
}

function createAnswer(end: HoldEnd, message: string): HoldAnswer {
  return { end, granted: undefined, message };
}
