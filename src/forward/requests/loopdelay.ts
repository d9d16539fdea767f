/**
 * Samples how late the event loop runs, so that the end of a request can say for how long the process
 * stood still meanwhile. It takes samples while requests are under way.
 */
import type { Clock, Moment } from "../../core/clock";

/** Interval of the samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 20;
/** How long delays are remembered, in milliseconds. */
const MEMORY_MS = 60_000;

interface Delay {
  readonly endedAt: Moment;
  readonly ms: number;
}

/** Remembers the longest delays of the event loop. */
export class LoopDelaySampler {
  /** In order of time; each is longer than all that follow, as no question is answered by others. */
  private longest: Delay[] = [];
  private sampledAt: Moment;
  private timer: NodeJS.Timeout | undefined;
  private isResting = false;
  private openRequests = 0;

  /** @param onSample - called with each delay, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly onSample: (ms: number) => void = () => undefined,
  ) {
    this.sampledAt = clock.now();
    this.startTimer();
  }

  /** Takes no samples until a request begins: nobody asks for delays of an idle process. */
  rest(): void {
    clearInterval(this.timer);
    this.isResting = true;
  }

  /** Takes samples while a request is under way. */
  beginRequest(): void {
    this.openRequests += 1;
    if (!this.isResting) return;
    this.isResting = false;
    this.sampledAt = this.clock.now();
    this.startTimer();
  }

  /** Rests again after the last request. */
  endRequest(): void {
    this.openRequests -= 1;
    if (this.openRequests === 0) this.rest();
  }

  /** Computes the longest delay that ended after a moment, or goes on, in milliseconds. */
  computeLongestMs(since: Moment): number {
    const longest = this.longest.find(({ endedAt }) => endedAt >= since)?.ms ?? 0;
    return Math.max(longest, this.computeDelayMs(this.clock.now()));
  }

  /** Computes the longest delay of the last minute, in milliseconds. */
  computeRecentMs(): number {
    return this.computeLongestMs(this.clock.now() - MEMORY_MS);
  }

  /** Records the delay of one sample. */
  sample(): void {
    const now = this.clock.now();
    const ms = this.computeDelayMs(now);
    this.sampledAt = now;
    this.longest = this.longest.filter((delay) => delay.ms > ms && now - delay.endedAt < MEMORY_MS);
    this.longest.push({ endedAt: now, ms });
    this.onSample(ms);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private startTimer(): void {
    this.timer = setInterval(() => {
      this.sample();
    }, SAMPLE_INTERVAL_MS);
    this.timer.unref();
  }

  private computeDelayMs(now: Moment): number {
    if (this.isResting) return 0;
    return Math.max(0, now - this.sampledAt - SAMPLE_INTERVAL_MS);
  }
}
