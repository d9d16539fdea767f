/**
 * Keeps the sends of one request that are open beside each other, and hands over what happens to
 * them one event at a time, so that one loop decides on all of them.
 */
import type { Logger } from "../../core/log";
import { ReadFirstTimer } from "../../core/readfirst";

/** A send that may be open beside others. */
export interface RacingSend<Result> {
  /** Sends the request; resolves once the send has ended. */
  run(): Promise<Result>;
  /** Gives the send up. */
  abort(): void;
}

/** What an event of a race tells. */
export const RaceEventKind = {
  ended: "ended",
  /** The send had no result within its silence timeout; it goes on. */
  silent: "silent",
  /** The time is up that the sends that are open had. */
  timeUp: "time up",
} as const;
export type RaceEventKind = (typeof RaceEventKind)[keyof typeof RaceEventKind];

/** An event of a race. */
export type RaceEvent<Send, Result> =
  | { readonly kind: typeof RaceEventKind.ended; readonly send: Send; readonly result: Result }
  | { readonly kind: typeof RaceEventKind.silent; readonly send: Send }
  | { readonly kind: typeof RaceEventKind.timeUp };

/**
 * The open sends of one request.
 *
 * @example
 * race.add(send);
 * race.watch(send, 375); // in milliseconds
 * const event = await race.next(); // the send has ended, or is silent
 * race.close(); // gives up the sends that are left
 */
export class SendRace<Result, Send extends RacingSend<Result>> {
  /** In the order in which they began, with the timer of each that is watched. */
  private readonly timers = new Map<Send, ReadFirstTimer | undefined>();
  private limitTimer: ReadFirstTimer | undefined;
  private readonly events: Promise<RaceEvent<Send, Result>>[] = [];
  private wake: (() => void) | undefined;
  private isClosed = false;

  constructor(private readonly logger: Logger) {}

  /** Number of sends whose end was not handed over yet. */
  get size(): number {
    return this.timers.size;
  }

  /** Checks whether a send is the last that began, of those that are open. */
  isNewest(send: Send): boolean {
    return [...this.timers.keys()].at(-1) === send;
  }

  /** Begins a send. */
  add(send: Send): void {
    this.timers.set(send, undefined);
    const ended = send.run().then((result) => ({ kind: RaceEventKind.ended, send, result }));
    const settle = () => {
      this.settle(send, ended);
    };
    ended.then(settle, settle);
  }

  /** Reports an open send as silent after a time, in milliseconds, unless it ends before. */
  watch(send: Send, timeoutMs: number): void {
    if (!this.timers.has(send)) return;
    this.timers.get(send)?.close();
    const timer = new ReadFirstTimer(timeoutMs, () => {
      this.push(Promise.resolve({ kind: RaceEventKind.silent, send }));
    });
    this.timers.set(send, timer);
  }

  /** Limits the time of the sends that are open, in milliseconds; the first limit holds. */
  limit(timeoutMs: number): void {
    this.limitTimer ??= new ReadFirstTimer(timeoutMs, () => {
      this.push(Promise.resolve({ kind: RaceEventKind.timeUp }));
    });
  }

  /** Waits for the next event; rejects if a send threw. */
  async next(): Promise<RaceEvent<Send, Result>> {
    for (;;) {
      const event = this.events.shift();
      if (event === undefined) {
        await new Promise<void>((resolve) => (this.wake = resolve));
        continue;
      }
      const happened = await event;
      if (happened.kind === RaceEventKind.ended) this.timers.delete(happened.send);
      return happened;
    }
  }

  /** Gives up all open sends; what happens to them from now on is not handed over. */
  close(): void {
    this.isClosed = true;
    this.limitTimer?.close();
    for (const [send, timer] of this.timers) {
      timer?.close();
      send.abort();
    }
    this.timers.clear();
    for (const event of this.events) this.logFailure(event);
  }

  private settle(send: Send, ended: Promise<RaceEvent<Send, Result>>): void {
    this.timers.get(send)?.close();
    if (this.isClosed) this.logFailure(ended);
    else this.push(ended);
  }

  private logFailure(event: Promise<unknown>): void {
    event.catch((error: unknown) => {
      this.logger.error("send given up, and failed", { error: String(error) });
    });
  }

  private push(event: Promise<RaceEvent<Send, Result>>): void {
    this.events.push(event);
    this.wake?.();
  }
}
