/**
 * A token stream that may begin before its listener is there. So an attempt that is to take the place
 * of a silent one can begin to stream while the silent one still may go on, and no token of it reaches
 * the caller before it has taken that place.
 */
import { ReadFirstTimer } from "../core/readfirst";
import type { EngineError } from "../endpoint/fault";
import type { TokenStream, TokenStreamListener } from "../endpoint/stream";

type StreamEvent = (listener: TokenStreamListener) => void;

/**
 * Keeps the events of a stream until a listener subscribes.
 *
 * @example
 * const stream = new KeptStream((listener) => engines.decode(url, request, listener));
 * const error = await stream.waitForStart(350);
 * stream.subscribe({ onToken: write, onEnd: finish });
 */
export class KeptStream implements TokenStream {
  private readonly stream: TokenStream;
  private readonly keptEvents: StreamEvent[] = [];
  private listener: TokenStreamListener | undefined;
  private error: EngineError | undefined;
  private isClosed = false;
  private endWait: () => void = () => undefined;

  /** @param open - opens the stream */
  constructor(open: (listener: TokenStreamListener) => TokenStream) {
    this.stream = open({
      onBytes: () => {
        this.handleEvent((listener) => listener.onBytes?.());
      },
      onToken: (index, text) => {
        if (this.listener !== undefined) this.listener.onToken(index, text);
        else this.handleEvent((listener) => listener.onToken(index, text));
      },
      onEnd: (error) => {
        this.error = error;
        this.handleEvent((listener) => listener.onEnd(error));
      },
    });
  }

  /**
   * Waits for the first bytes, for the end of the stream or for the end of a timeout.
   *
   * @param timeoutMs - the timeout, in milliseconds
   * @returns the error that ended the stream; undefined if it has begun, or may begin later
   */
  async waitForStart(timeoutMs: number): Promise<EngineError | undefined> {
    if (this.keptEvents.length === 0 && !this.isClosed) {
      await new Promise<void>((resolve) => {
        const timer = new ReadFirstTimer(timeoutMs, resolve);
        this.endWait = () => {
          timer.close();
          resolve();
        };
      });
    }
    return this.error;
  }

  /** Passes on what was kept, and what comes from now on. */
  subscribe(listener: TokenStreamListener): void {
    this.listener = listener;
    for (const event of this.keptEvents.splice(0)) if (!this.isClosed) event(listener);
  }

  close(): void {
    this.isClosed = true;
    this.stream.close();
    this.endWait();
  }

  private handleEvent(event: StreamEvent): void {
    if (this.listener === undefined) this.keptEvents.push(event);
    else event(this.listener);
    this.endWait();
  }
}
