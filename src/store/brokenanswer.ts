/**
 * Answers whose head has arrived and that are none all the same: their connection was cut, or their
 * status is none. All clients report them in this form, for the log and the metrics.
 */
import type { Dispatcher } from "undici";
import type { BodyEnd } from "../core/bodyend";
import { isFinalStatus } from "../core/finalstatus";
import { ConnectionCutError, type CutFacts } from "./cut";
import { hasFraming, type HeaderField } from "./framing";

/** An answer whose status is none that HTTP has for a final answer. */
export class OddStatusError extends Error {
  override readonly name = "OddStatusError";

  constructor(readonly status: number) {
    super(`an answer has the status ${status}`);
  }
}

/** What is known of a broken answer: the facts of its head, and why it is none. */
export type Broken<F> = F &
  Partial<Omit<CutFacts, "reason">> & {
    /** `status`: it has none of a final answer; `down`: its endpoint died as it ended. */
    readonly reason: BodyEnd | "status" | "down";
    readonly error: string;
  };

/**
 * Describes an answer that ended with an error; undefined unless the answer itself is broken.
 *
 * @param facts - what is known of its head
 * @example
 * body.once("error", (error) => report(describeBroken({ status: 200 }, error)));
 */
export function describeBroken<F>(facts: F, error: unknown): Broken<F> | undefined {
  if (error instanceof ConnectionCutError)
    return { ...facts, ...error.facts, error: error.message };
  if (error instanceof OddStatusError) return { ...facts, reason: "status", error: error.message };
  return undefined;
}

/** What a client knows of an answer whose head has arrived. */
export interface AnswerFacts {
  /** Whose answer it is, as a URL without a path. */
  readonly origin: string;
  readonly status: number;
  /** True if the answer has a length, chunks or no body; one without ends with its connection. */
  readonly isFramed: boolean;
}

/** Receives the answers that are broken. */
export type BrokenAnswerListener = (answer: Broken<AnswerFacts>) => void;

/**
 * Accepts an answer whose status is one of a final answer; closes and throws any other, which an HTTP
 * parser takes as it comes.
 *
 * @example
 * acceptStatus(await client.request(options));
 */
export function acceptStatus({ statusCode, body }: Dispatcher.ResponseData): void {
  if (isFinalStatus(statusCode)) return;
  body.on("error", () => undefined).destroy();
  throw new OddStatusError(statusCode);
}

/**
 * Accepts an answer as `acceptStatus` does, and reports it if it is broken, also later in its body.
 *
 * @returns what is known of its head
 * @example
 * acceptAnswer("http://127.0.0.1:80", await client.request(options), onBroken);
 */
export function acceptAnswer(
  origin: string,
  response: Dispatcher.ResponseData,
  onBroken: BrokenAnswerListener | undefined,
): AnswerFacts {
  const { statusCode: status, headers, body } = response;
  const facts = { origin, status, isFramed: hasFraming(status, listFields(headers)) };
  const report = (error: unknown) => {
    const broken = describeBroken(facts, error);
    if (broken !== undefined) onBroken?.(broken);
  };
  body.once("error", report);
  try {
    acceptStatus(response);
  } catch (error) {
    report(error);
    throw error;
  }
  return facts;
}

function listFields(headers: Dispatcher.ResponseData["headers"]): readonly HeaderField[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    value === undefined ? [] : { name, value: String(value) },
  );
}
