/**
 * Knows how long sends of each kind usually take at the endpoints of a service, to tell an endpoint that
 * is far slower than the others.
 */
import type { Moment } from "../../core/clock";

/** Weight of one answer in the moving averages. */
const WEIGHT = 0.05;
/** Number of answers before an average counts. */
const MIN_ANSWERS = 8;
/**
 * An answer is far slower than usual beyond this factor: machines of one service differ by more than
 * two to one, and the noise is larger than that for single answers.
 */
const SLOW_FACTOR = 3;
/** No answer is called slow below this time, in milliseconds. */
const MIN_SLOW_MS = 20;
/** Share of rejections at the other endpoints above which a rejection says nothing about one. */
const REJECTED_SHARE = 0.2;
/** How long the rejections of others count, in milliseconds. */
const REJECTED_TTL_MS = 2000;

interface UsualTime {
  ms: number;
  count: number;
}

/** Moving averages by service and kind of send. */
export class UsualTimes {
  private readonly times = new Map<string, UsualTime>();
  private readonly rejections = new Map<string, { share: number; at: Moment }>();

  /** Records how long a send took, for each unit of its size. */
  record(kind: string, msPerUnit: number): void {
    const known = this.times.get(kind);
    if (known === undefined) {
      this.times.set(kind, { ms: msPerUnit, count: 1 });
      return;
    }
    known.count += 1;
    known.ms += (msPerUnit - known.ms) * Math.max(WEIGHT, 1 / known.count);
  }

  /** Records whether an endpoint of a service rejected a send. */
  recordRejection(service: string, isRejected: boolean, now: Moment): void {
    const share = this.rejections.get(service)?.share ?? 0;
    const next = share + (Number(isRejected) - share) * WEIGHT;
    this.rejections.set(service, { share: next, at: now });
  }

  /** Checks whether a send of a size took far longer than usual; false while that is not known. */
  isSlow(kind: string, tookMs: number, size: number): boolean {
    const known = this.times.get(kind);
    if (known === undefined || known.count < MIN_ANSWERS) return false;
    return tookMs > Math.max(MIN_SLOW_MS, known.ms * size * SLOW_FACTOR);
  }

  /** Checks whether the other endpoints of a service reject sends too. */
  isRejecting(service: string, now: Moment): boolean {
    const known = this.rejections.get(service);
    return known !== undefined && known.share > REJECTED_SHARE && now - known.at < REJECTED_TTL_MS;
  }
}
