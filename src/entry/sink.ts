/**
 * Where the tokens of a completion go: straight on to the caller, or into one answer.
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "../core/outcome";
import { ExecutionStatus } from "../core/outcome";
import { ResponseHeader, createRefusalBody, writeRefusal } from "./response";

const HEARTBEAT_MS = 2000;
/** A caller that leaves this much unread is given up. */
const MAX_UNREAD_BYTES = 1024 * 1024;

/** What a finished completion used. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Takes the tokens of one completion, each once and in order. */
export interface TokenSink {
  /** Passes a token on; false where the caller no longer reads. */
  write(text: string): boolean;
  finish(usage: Usage): void;
  fail(refusal: Refusal): void;
  close(): void;
}

/** How the answer of a completion looks. */
export interface ResponseShape {
  readonly requestId: string;
  readonly model: string;
  readonly isChat: boolean;
  readonly isClosing: boolean;
}

/**
 * Creates the sink of a request.
 *
 * @param isStream - whether the caller asked for a stream
 * @example
 * createSink(response, { requestId: "a", model: "drafter", isChat: false, isClosing: false }, true);
 */
export function createSink(
  response: ServerResponse,
  shape: ResponseShape,
  isStream: boolean,
): TokenSink {
  return isStream ? new StreamSink(response, shape) : new WholeSink(response, shape);
}

class StreamSink implements TokenSink {
  private timer: NodeJS.Timeout | undefined;
  private hasWritten = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly shape: ResponseShape,
  ) {}

  write(text: string): boolean {
    if (!this.response.headersSent) this.begin();
    this.hasWritten = true;
    this.response.write(createChunk(this.shape, text));
    return this.response.writableLength < MAX_UNREAD_BYTES;
  }

  finish(usage: Usage): void {
    if (!this.response.headersSent) this.begin();
    this.close();
    this.response.end(`${createLastChunk(this.shape, usage)}data: [DONE]\n\n`);
  }

  /** After the first token the status is gone: an error event takes its place, and no end marker. */
  fail(refusal: Refusal): void {
    this.close();
    if (!this.response.headersSent) {
      writeRefusal(this.response, refusal, this.shape.requestId, this.shape.isClosing);
      return;
    }
    const body = createRefusalBody(refusal, this.shape.requestId);
    this.response.end(`event: error\ndata: ${body}\n\n`);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private begin(): void {
    this.response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      [ResponseHeader.request]: this.shape.requestId,
      [ResponseHeader.ran]: ExecutionStatus.answered,
      ...(this.shape.isClosing ? { connection: "close" } : {}),
    });
    this.timer = setInterval(() => {
      if (!this.hasWritten) this.response.write(": waiting\n\n");
      this.hasWritten = false;
    }, HEARTBEAT_MS);
  }
}

class WholeSink implements TokenSink {
  private readonly parts: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly shape: ResponseShape,
  ) {}

  write(text: string): boolean {
    this.parts.push(text);
    return true;
  }

  finish(usage: Usage): void {
    const { requestId, model, isChat, isClosing } = this.shape;
    const text = this.parts.join("");
    const content = isChat ? { message: { role: "assistant", content: text } } : { text };
    const body = JSON.stringify({
      id: requestId,
      object: isChat ? "chat.completion" : "text_completion",
      model,
      choices: [{ index: 0, ...content, finish_reason: "stop" }],
      usage: createUsage(usage),
    });
    this.response.writeHead(200, {
      "content-type": "application/json",
      [ResponseHeader.request]: requestId,
      [ResponseHeader.ran]: ExecutionStatus.answered,
      ...(isClosing ? { connection: "close" } : {}),
    });
    this.response.end(body);
  }

  fail(refusal: Refusal): void {
    writeRefusal(this.response, refusal, this.shape.requestId, this.shape.isClosing);
  }

  close(): void {
    this.parts.length = 0;
  }
}

function createChunk(shape: ResponseShape, text: string): string {
  const part = JSON.stringify(text);
  const content = shape.isChat ? `"delta":{"content":${part}}` : `"text":${part}`;
  return `data: {"id":"${shape.requestId}","choices":[{"index":0,${content},"finish_reason":null}]}\n\n`;
}

function createLastChunk(shape: ResponseShape, usage: Usage): string {
  const content = shape.isChat ? { delta: {} } : { text: "" };
  const chunk = {
    id: shape.requestId,
    model: shape.model,
    choices: [{ index: 0, ...content, finish_reason: "stop" }],
    usage: createUsage(usage),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

function createUsage(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
  };
}
