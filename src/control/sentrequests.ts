/**
 * Where the requests for grants of this instance were sent last, and which of them their scheduler has
 * acknowledged. Answers two faults: a request that was never sent on the connection which is open now
 * (lost with the one before, or there was none), and a connection on which replies come while what is
 * sent on it does not arrive.
 */

/** How a request was sent last. */
interface SentRequest {
  /** Number of the connection; undefined if it could not be sent. */
  readonly connection: number | undefined;
  /** True until the end of the turn in which it was queued. */
  readonly isQueued: boolean;
  /** How many checks it has gone without being acknowledged; undefined once it is. */
  uncheckedCount: number | undefined;
}

/**
 * The requests that wait for a grant, by id.
 *
 * @example
 * const sent = new SentRequests(10);
 * sent.recordQueued("r1");
 * sent.recordSent("r1", 7);
 * sent.isLost("r1", 8); // true: it was sent on connection 7
 * sent.acknowledge("r1", 7);
 */
export class SentRequests {
  private readonly requests = new Map<string, SentRequest>();

  /**
   * @param maxUnacknowledgedChecks - after how many checks a request is overdue. Checks are counted in
   *   place of time, so that a time for which this process stood still is no fault of the scheduler.
   */
  constructor(private readonly maxUnacknowledgedChecks: number) {}

  /** Records that a request is sent at the end of this turn. */
  recordQueued(id: string): void {
    this.requests.set(id, { connection: undefined, isQueued: true, uncheckedCount: undefined });
  }

  /** Records that a request was sent; undefined for the connection if there was none. */
  recordSent(id: string, connection: number | undefined): void {
    if (!this.requests.has(id)) return;
    this.requests.set(id, { connection, isQueued: false, uncheckedCount: 0 });
  }

  /** Records that a scheduler has received a request; what another connection says does not count. */
  acknowledge(id: string, connection: number): void {
    const request = this.requests.get(id);
    if (request?.connection === connection) request.uncheckedCount = undefined;
  }

  /** Forgets a request that waits no more. */
  forget(id: string): void {
    this.requests.delete(id);
  }

  /**
   * Checks whether a request can't be answered any more.
   *
   * @param connection - number of the connection that is open to its scheduler; undefined if none is
   */
  isLost(id: string, connection: number | undefined): boolean {
    const request = this.requests.get(id);
    if (request === undefined || request.isQueued) return false;
    return request.connection === undefined || request.connection !== connection;
  }

  /** Counts one check, and returns the requests of a connection that are overdue. */
  checkOverdue(connection: number): readonly string[] {
    const overdue: string[] = [];
    for (const [id, request] of this.requests) {
      if (request.connection !== connection || request.uncheckedCount === undefined) continue;
      request.uncheckedCount += 1;
      if (request.uncheckedCount > this.maxUnacknowledgedChecks) overdue.push(id);
    }
    return overdue;
  }
}
