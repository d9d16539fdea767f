/**
 * Streams tokens from a decode engine as server-sent events. A stream may be silent for as long as its
 * listener lets it.
 */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Dispatcher } from "undici";
import type { Sender } from "../store/http";
import { isConnectionRefused, isConnectError } from "../store/http";
import { EngineError, EngineFault, isOfAnother, mapStatusToFault } from "./fault";

/** A decode to run in a reserved slot. */
export interface DecodeRequest {
  readonly attempt: string;
  readonly hold: string;
  readonly model: string;
  /** Where to fetch the KV cache; absent to resume a hold whose connection was lost. */
  readonly import?: { readonly url: string; readonly exportId: string };
  /** Index of the first token to send. */
  readonly from: number;
  readonly maxTokens: number;
  readonly priority: number;
}

/** Receives the tokens and the end of a stream. */
export interface TokenStreamListener {
  /** Called for each piece of the stream, before its tokens; a heartbeat has none. */
  onBytes?(): void;
  /** Called for each token, in order of arrival. */
  onToken(index: number, text: string): void;
  /** Called once: with undefined after the end marker, otherwise with the error. */
  onEnd(error: EngineError | undefined): void;
}

/** An open token stream. */
export interface TokenStream {
  /** Aborts the stream; the listener is not called afterwards. */
  close(): void;
}

/**
 * Opens a token stream.
 *
 * @param sender - sends the request
 * @param url - URL of the engine
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
  private readonly abortController = new AbortController();
  private readonly parser = createParser({
    onEvent: (event) => {
      this.handleEvent(event);
    },
  });
  private readonly decoder = new TextDecoder();
  private hasEnded = false;

  constructor(
    private readonly sender: Sender,
    private readonly request: DecodeRequest,
    private readonly listener: TokenStreamListener,
  ) {}

  start(url: string): void {
    const { origin } = new URL(url);
    this.sender
      .request(origin, {
        path: "/decode",
        method: "POST",
        headers: { "content-type": "application/json", "x-attempt-id": this.request.attempt },
        body: JSON.stringify(this.request),
        signal: this.abortController.signal,
      })
      .then((response) => {
        this.handleResponse(response);
      })
      .catch((error: unknown) => {
        const connectFault = isConnectionRefused(error)
          ? EngineFault.down
          : EngineFault.unreachable;
        const fault = isConnectError(error) ? connectFault : EngineFault.broken;
        this.finish(new EngineError(fault, (error as Error).message));
      });
  }

  close(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.abortController.abort();
  }

  private handleResponse(response: Dispatcher.ResponseData): void {
    const { body, statusCode, headers } = response;
    body.on("error", (error: Error) => {
      this.finish(new EngineError(EngineFault.broken, error.message));
    });
    const { attempt } = this.request;
    if (isOfAnother(headers, attempt) || (statusCode === 200 && !headers["x-attempt-id"])) {
      this.finish(new EngineError(EngineFault.mismatch, "the stream belongs to another attempt"));
      return;
    }
    if (statusCode !== 200) {
      body.resume();
      this.finish(
        new EngineError(mapStatusToFault(statusCode), `the engine answered ${statusCode}`),
      );
      return;
    }
    body.on("data", (chunk: Buffer) => {
      if (!this.hasEnded) this.listener.onBytes?.();
      this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    });
    body.on("end", () => {
      this.finish(new EngineError(EngineFault.broken, "the stream ended without its end marker"));
    });
  }

  private handleEvent(event: EventSourceMessage): void {
    if (this.hasEnded) return;
    if (event.event === "end") {
      this.finish(undefined);
      return;
    }
    if (event.event === "failed") {
      this.finish(new EngineError(EngineFault.lost, event.data));
      return;
    }
    // Each event is "index text", with the text as a JSON string: parsing this once for each token
    // costs less than parsing a JSON object.
    const space = event.data.indexOf(" ");
    const index = Number(event.data.slice(0, space));
    this.listener.onToken(index, JSON.parse(event.data.slice(space + 1)) as string);
  }

  private finish(error: EngineError | undefined): void {
    if (this.hasEnded) return;
    const isComplete = error === undefined;
    this.hasEnded = true;
    if (!isComplete) this.abortController.abort();
    this.listener.onEnd(error);
  }
}
