/**
 * A budget for retries: they may be a part of the requests, so that they never multiply a failure.
 */

const MOST = 200;
const START = 100;
/** What each request adds. */
const SHARE = 0.25;

/** The retries that an instance may still make. */
export class RetryBudget {
  private left = START;

  /** Notes a request. */
  deposit(): void {
    this.left = Math.min(MOST, this.left + SHARE);
  }

  /** Takes a retry; false where there is none left. */
  withdraw(): boolean {
    if (this.left < 1) return false;
    this.left -= 1;
    return true;
  }
}
