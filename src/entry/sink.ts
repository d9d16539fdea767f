/**
 * Writes the tokens of a completion to the caller, as a stream of events or as one response.
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "../core/outcome";
import { ExecutionStatus } from "../core/outcome";
import { ResponseHeader, createRefusalBody, writeRefusal } from "./response";

const HEARTBEAT_INTERVAL_MS = 2000;
/**
 * Buffered response bytes from which a caller counts as no longer reading; its request is
 * cancelled.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Token usage of a finished completion. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Receives the tokens of one completion, each once and in order, and then its end. */
export interface TokenSink {
  /** Writes a token; false where the caller no longer reads. */
  write(text: string): boolean;
  finish(usage: Usage): void;
  fail(refusal: Refusal): void;
  close(): void;
}

/** Properties of the response to a completion request. */
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
 * createSink(response, { requestId: "a", model: "drafter", isChat: false, isClosing: false },
 * true);
 */
export function createSink(
  response: ServerResponse,
  shape: ResponseShape,
  isStream: boolean,
): TokenSink {
  return isStream ? new StreamSink(response, shape) : new BufferedSink(response, shape);
}

class StreamSink implements TokenSink {
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private hasWrittenSinceHeartbeat = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly shape: ResponseShape,
  ) {}

  write(text: string): boolean {
    if (!this.response.headersSent) this.sendHead();
    this.hasWrittenSinceHeartbeat = true;
    this.response.write(createChunk(this.shape, text));
    return this.response.writableLength < MAX_BUFFERED_BYTES;
  }

  finish(usage: Usage): void {
    if (!this.response.headersSent) this.sendHead();
    this.close();
    this.response.end(`${createLastChunk(this.shape, usage)}data: [DONE]\n\n`);
  }

  /**
   * Ends with an error event and no end marker where the head, and so the status, was already sent.
   */
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
    clearInterval(this.heartbeatTimer);
  }

  private sendHead(): void {
    this.response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      [ResponseHeader.request]: this.shape.requestId,
      [ResponseHeader.ran]: ExecutionStatus.answered,
      ...(this.shape.isClosing ? { connection: "close" } : {}),
    });
    this.heartbeatTimer = setInterval(() => {
      if (!this.hasWrittenSinceHeartbeat) this.response.write(": waiting\n\n");
      this.hasWrittenSinceHeartbeat = false;
    }, HEARTBEAT_INTERVAL_MS);
  }
}

class BufferedSink implements TokenSink {
  private readonly texts: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly shape: ResponseShape,
  ) {}

  write(text: string): boolean {
    this.texts.push(text);
    return true;
  }

  finish(usage: Usage): void {
    const { requestId, model, isChat, isClosing } = this.shape;
    const text = this.texts.join("");
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
      "content-length": Buffer.byteLength(body),
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
    this.texts.length = 0;
  }
}

function createChunk(shape: ResponseShape, text: string): string {
  const quotedText = JSON.stringify(text);
  const content = shape.isChat ? `"delta":{"content":${quotedText}}` : `"text":${quotedText}`;
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
