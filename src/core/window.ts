/**
 * Sums of values over a sliding window of time.
 */
import type { Moment } from "./clock";

/** Number of steps in a window. Values older than the window expire one step at a time. */
const STEPS_PER_WINDOW = 16;

/** The sum of the values added within a sliding window, such as admitted cost. */
export class SlidingWindowSum {
  private readonly sums = new Float64Array(STEPS_PER_WINDOW);
  private currentStep = 0;
  private total = 0;

  constructor(private readonly windowMs: number) {}

  add(value: number, now: Moment): void {
    this.advance(now);
    const index = this.currentStep % STEPS_PER_WINDOW;
    this.sums[index] = (this.sums[index] ?? 0) + value;
    this.total += value;
  }

  read(now: Moment): number {
    this.advance(now);
    return this.total;
  }

  private advance(now: Moment): void {
    const step = Math.floor((now * STEPS_PER_WINDOW) / this.windowMs);
    if (step - this.currentStep >= STEPS_PER_WINDOW) {
      this.sums.fill(0);
      this.total = 0;
      this.currentStep = step;
      return;
    }
    while (this.currentStep < step) {
      this.currentStep += 1;
      const index = this.currentStep % STEPS_PER_WINDOW;
      this.total -= this.sums[index] ?? 0;
      this.sums[index] = 0;
    }
  }
}
