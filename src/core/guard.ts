/**
 * Guards the handlers of events, timers and immediates. Nobody else can catch what they throw, so that an
 * unexpected error there ends the process, with all requests that it has accepted.
 */
import { formatStack, type Logger } from "./log";

/**
 * Guards the handlers of one source of events, such as a connection: an unexpected error costs that source alone.
 *
 * @example
 * const guard = new EventGuard("tunnel", logger, () => socket.destroy());
 * socket.on("data", guard.wrap((bytes) => relay(bytes)));
 */
export class EventGuard {
  /**
   * @param source - what the log calls the source
   * @param onFault - ends the source; called after each handler that throws
   */
  constructor(
    private readonly source: string,
    private readonly logger: Logger,
    private readonly onFault: () => void,
  ) {}

  /** Wraps a handler, so that an error that it throws is logged and ends the source. */
  wrap<A extends readonly unknown[]>(handle: (...args: A) => void): (...args: A) => void {
    return (...args) => {
      try {
        handle(...args);
      } catch (error) {
        this.report(error);
        this.end();
      }
    };
  }

  /** Runs a turn that nobody waits for; an error is logged and ends the source. Never rejects. */
  async run(turn: () => Promise<void>): Promise<void> {
    try {
      await turn();
    } catch (error) {
      this.report(error);
      this.end();
    }
  }

  private end(): void {
    try {
      this.onFault();
    } catch (error) {
      this.report(error);
    }
  }

  private report(error: unknown): void {
    this.logger.error("event failed", { source: this.source, stack: formatStack(error) });
  }
}
