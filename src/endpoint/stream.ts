/**
 * A stream of tokens from a decode engine, with its silence noticed.
 */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Dispatcher } from "undici";
import type { Sender } from "../store/http";
import { isConnectionRefused, isConnectError } from "../store/http";
import { type DecodeRequest, EngineError, EngineFault, readFault } from "./engine";

/** An engine sends something at least every few hundred milliseconds, a heartbeat if no token. */
const SILENCE_MS = 1500;
const SILENCE_CHECK_MS = 250;
/** The first byte may wait for a KV transfer. */
const FIRST_BYTE_MS = 5000;

/** Hears what a stream brings. */
export interface TokenStreamListener {
  /** Called for each token, in the order of arrival. */
  onToken(index: number, text: string): void;
  /** Called once: with nothing after the end marker, else with what went wrong. */
  onEnd(error: EngineError | undefined): void;
}

/** A running stream. */
export interface TokenStream {
  /** Gives the stream up; nothing is heard of it afterwards. */
  close(): void;
}

/**
 * Opens a stream.
 *
 * @param sender - whose connections to use
 * @param url - the engine
 * @example
 * openTokenStream(sender, url, request, { onToken: write, onEnd: finish });
 */
export function openTokenStream(
  sender: Sender,
  url: string,
  request: DecodeRequest,
  listener: TokenStreamListener,
): TokenStream {
  const stream = new HttpTokenStream(sender, request, listener);
  stream.start(url);
  return stream;
}

class HttpTokenStream implements TokenStream {
  private readonly abort = new AbortController();
  private readonly parser = createParser({
    onEvent: (event) => {
      this.readEvent(event);
    },
  });
  private readonly decoder = new TextDecoder();
  private timer: NodeJS.Timeout | undefined;
  private deadline = 0;
  private isOver = false;

  constructor(
    private readonly sender: Sender,
    private readonly request: DecodeRequest,
    private readonly listener: TokenStreamListener,
  ) {}

  start(url: string): void {
    this.deadline = performance.now() + FIRST_BYTE_MS;
    this.timer = setInterval(() => {
      this.checkSilence();
    }, SILENCE_CHECK_MS);
    const { origin } = new URL(url);
    this.sender.dispatcher
      .request({
        origin,
        path: "/decode",
        method: "POST",
        headers: { "content-type": "application/json", "x-attempt-id": this.request.attempt },
        body: JSON.stringify(this.request),
        signal: this.abort.signal,
      })
      .then((response) => {
        this.readResponse(response);
      })
      .catch((error: unknown) => {
        const unsent = isConnectionRefused(error) ? EngineFault.down : EngineFault.unreachable;
        const fault = isConnectError(error) ? unsent : EngineFault.broken;
        this.finish(new EngineError(fault, (error as Error).message));
      });
  }

  close(): void {
    if (this.isOver) return;
    this.isOver = true;
    clearInterval(this.timer);
    this.abort.abort();
  }

  private readResponse(response: Dispatcher.ResponseData): void {
    const { body, statusCode, headers } = response;
    body.on("error", (error: Error) => {
      this.finish(new EngineError(EngineFault.broken, error.message));
    });
    if (statusCode !== 200) {
      body.resume();
      this.finish(new EngineError(readFault(statusCode), `the engine answered ${statusCode}`));
      return;
    }
    if (headers["x-attempt-id"] !== this.request.attempt) {
      this.finish(new EngineError(EngineFault.mismatch, "the stream belongs to another attempt"));
      return;
    }
    body.on("data", (chunk: Buffer) => {
      this.deadline = performance.now() + SILENCE_MS;
      this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    });
    body.on("end", () => {
      this.finish(new EngineError(EngineFault.broken, "the stream ended without its end marker"));
    });
  }

  private readEvent(event: EventSourceMessage): void {
    if (this.isOver) return;
    if (event.event === "end") {
      this.finish(undefined);
      return;
    }
    if (event.event === "failed") {
      this.finish(new EngineError(EngineFault.lost, event.data));
      return;
    }
    // The engine writes "index text": cheaper to read than JSON, once for each token.
    const space = event.data.indexOf(" ");
    const index = Number(event.data.slice(0, space));
    this.listener.onToken(index, JSON.parse(event.data.slice(space + 1)) as string);
  }

  private checkSilence(): void {
    if (performance.now() < this.deadline) return;
    this.sender.reset();
    this.finish(new EngineError(EngineFault.silent, "nothing came from the engine"));
  }

  private finish(error: EngineError | undefined): void {
    if (this.isOver) return;
    const isWhole = error === undefined;
    this.isOver = true;
    clearInterval(this.timer);
    if (!isWhole) this.abort.abort();
    this.listener.onEnd(error);
  }
}
