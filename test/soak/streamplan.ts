/**
 * How an engine writes the stream of a request, drawn from the seed of the soak and the request's id.
 */
import { EVENT_COUNT } from "./answers";
import { Random } from "./random";

/** How an engine shows the end of a stream. */
export const StreamFraming = {
  chunks: "chunks",
  /** By nothing but the end of its connection. */
  none: "none",
} as const;
export type StreamFraming = (typeof StreamFraming)[keyof typeof StreamFraming];

/** The same with a length, which an engine knows that has its whole answer. */
export const AnswerFraming = { ...StreamFraming, length: "length" } as const;
export type AnswerFraming = (typeof AnswerFraming)[keyof typeof AnswerFraming];

/** How a stream is written. */
export interface StreamPlan {
  readonly framing: AnswerFraming;
  readonly pauses: readonly EnginePause[];
}

/** A pause of an engine amid a stream. */
export interface EnginePause {
  /** Number of the event that it comes before. */
  readonly before: number;
  readonly ms: number;
}

/** The shares of streams without framing and with a length; the rest has chunks. */
const UNFRAMED_SHARE = 0.35;
const LENGTH_SHARE = 0.15;
/** The numbers of pauses that streams are drawn from. */
const PAUSE_COUNTS = [0, 0, 1, 1, 2];
/** How long one lasts, in milliseconds, alone and beside another one: no stream outlasts the patience of its caller. */
const PAUSE_MS = { min: 400, max: 1800 };
const SHARED_PAUSE_MS = { min: 400, max: 1200 };
const HASH_FACTOR = 31;
const HASH_RANGE = 2 ** 31;

/**
 * Draws how the stream of a request is written; the same seed and id have always the same plan.
 *
 * @example
 * drawStreamPlan(7, "nizwa-1-summary-3").framing; // "none"
 */
export function drawStreamPlan(seed: number, id: string): StreamPlan {
  const random = new Random(hashText(`${seed} ${id}`));
  const share = random.draw({ min: 0, max: 1 });
  const count = random.choose(PAUSE_COUNTS);
  const pauses = Array.from({ length: count }, () => ({
    before: random.drawInteger({ min: 1, max: EVENT_COUNT }),
    ms: random.draw(count > 1 ? SHARED_PAUSE_MS : PAUSE_MS),
  }));
  return { framing: chooseFraming(share), pauses };
}

/**
 * Computes how long an engine pauses before an event, in milliseconds.
 *
 * @example
 * computePauseMs({ framing: "none", pauses: [{ before: 3, ms: 900 }] }, 3); // 900
 */
export function computePauseMs({ pauses }: StreamPlan, event: number): number {
  const before = pauses.filter((pause) => pause.before === event);
  return before.reduce((sum, { ms }) => sum + ms, 0);
}

function chooseFraming(share: number): AnswerFraming {
  if (share < UNFRAMED_SHARE) return AnswerFraming.none;
  return share < UNFRAMED_SHARE + LENGTH_SHARE ? AnswerFraming.length : AnswerFraming.chunks;
}

function hashText(text: string): number {
  let hash = 0;
  for (const character of text)
    hash = (hash * HASH_FACTOR + (character.codePointAt(0) ?? 0)) % HASH_RANGE;
  return hash;
}
