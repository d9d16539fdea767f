/**
 * HTTP callers that record status, text, outcome and timings of each response.
 */
import { request } from "undici";
import { computeAnswer } from "../standin/model";
import { readMachineClock } from "../standin/http";
import { MODEL } from "./plan";

/** The response to one request as its caller received it; times are the machine's monotonic clock in milliseconds. */
export interface Seen {
  readonly status: number;
  /** The text of a completion, or the body of any other response. */
  readonly text: string;
  /** True for a completion with the expected text up to `[DONE]`, or a service response with status 200. */
  readonly isWhole: boolean;
  /** The outcome of the error event, else of the outcome header; `none` where there is neither. */
  readonly outcome: string;
  readonly reason: string;
  readonly retryAfterMs: number | undefined;
  readonly requestId: string;
  readonly replayed: boolean;
  readonly startedAt: number;
  /** When the first generated text arrived. */
  readonly firstAt: number | undefined;
  readonly endedAt: number;
}

/** A streaming completion request. */
export interface CompletionCall {
  readonly url: string;
  readonly key?: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** Sends a streaming completion request and compares the text with what the engines must generate. */
export async function draft(call: CompletionCall): Promise<Seen> {
  const startedAt = readMachineClock();
  const body = JSON.stringify({
    model: MODEL,
    prompt: call.prompt,
    max_tokens: call.maxTokens,
    stream: true,
  });
  const headers = {
    "content-type": "application/json",
    ...createKeyHeader(call.key),
    ...call.headers,
  };
  let firstAt: number | undefined;
  let received = "";
  let status = 0;
  let answerHeaders: Record<string, unknown> = {};
  try {
    const answer = await request(`${call.url}/v1/completions`, {
      method: "POST",
      headers,
      body,
      ...(call.signal === undefined ? {} : { signal: call.signal }),
    });
    status = answer.statusCode;
    answerHeaders = answer.headers;
    for await (const chunk of answer.body) {
      received += String(chunk);
      if (firstAt === undefined && received.includes('"text":"w')) firstAt = readMachineClock();
    }
  } catch {
    received += "\n";
  }
  const isDone = received.endsWith("data: [DONE]\n\n");
  const text = isDone || status === 200 ? extractCompletionText(received) : received;
  const isWhole = isDone && text === computeAnswer(call.prompt, call.maxTokens);
  return createSeen(status, text, isWhole, answerHeaders, received, startedAt, firstAt);
}

/** A request to a plain service. */
export interface ServiceCall {
  readonly url: string;
  readonly path: string;
  readonly method?: string;
  readonly key?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Sends a request to a plain service; a failed connection gives status 0 with the error's message as text. */
export async function callService(call: ServiceCall): Promise<Seen> {
  const startedAt = readMachineClock();
  try {
    const answer = await request(`${call.url}${call.path}`, {
      method: (call.method ?? "POST") as "POST",
      headers: {
        "content-type": "application/json",
        ...createKeyHeader(call.key),
        ...call.headers,
      },
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
    });
    const text = await answer.body.text();
    return createSeen(
      answer.statusCode,
      text,
      answer.statusCode === 200,
      answer.headers,
      text,
      startedAt,
      undefined,
    );
  } catch (error) {
    return createSeen(0, (error as Error).message, false, {}, "", startedAt, undefined);
  }
}

function createKeyHeader(key: string | undefined): Record<string, string> {
  return key === undefined ? {} : { authorization: `Bearer ${key}` };
}

function extractCompletionText(received: string): string {
  return received
    .split("\n")
    .filter((line) => line.startsWith("data: {") && line.includes('"text"'))
    .map(
      (line) =>
        (JSON.parse(line.slice(6)) as { choices: { text: string }[] }).choices[0]?.text ?? "",
    )
    .join("");
}

function createSeen(
  status: number,
  text: string,
  isWhole: boolean,
  headers: Record<string, unknown>,
  received: string,
  startedAt: number,
  firstAt: number | undefined,
): Seen {
  const error = /\{"error":.*\}\}/.exec(received)?.[0];
  const details =
    error === undefined
      ? undefined
      : (JSON.parse(error) as { error: { type: string; outcome: string; retry_after_ms?: number } })
          .error;
  return {
    status,
    text,
    isWhole,
    outcome: details?.outcome ?? String(headers["x-gorsefold-outcome"] ?? "none"),
    reason: details?.type ?? "",
    retryAfterMs: details?.retry_after_ms,
    requestId: String(headers["x-request-id"] ?? ""),
    replayed: headers["x-gorsefold-replayed"] === "true",
    startedAt,
    firstAt,
    endedAt: readMachineClock(),
  };
}
