/**
 * Remembers at which endpoints the listed process is known to be the one that answers, and since which connections. A
 * process that answers a question has had its address to itself since it was listed, so a connection that was opened
 * before the question is its own: an earlier process has ended by then, and a later one is there only after it.
 */
import type { Moment } from "../../core/clock";
import type { EndpointTarget } from "../limits";

/** A listed process that has answered. */
interface ConfirmedProcess {
  readonly processStartedAt: number;
  /** When it was last asked and said that it is the listed one; undefined if it does not tell. */
  readonly askedAt: Moment | undefined;
}

/** Which processes are there, as they said themselves. */
export class ConfirmedProcesses {
  private readonly byEndpoint = new Map<string, ConfirmedProcess>();

  /** @param maxEndpoints - how many endpoints are remembered; the one that was asked first is forgotten first */
  constructor(private readonly maxEndpoints = 10_000) {}

  /** Records that a process said, asked at a time, that it is the listed one. */
  record({ id, processStartedAt }: EndpointTarget, askedAt: Moment): void {
    const known = this.byEndpoint.get(id);
    const isSame = known?.processStartedAt === processStartedAt;
    if (isSame && known.askedAt !== undefined && known.askedAt >= askedAt) return;
    this.set(id, { processStartedAt, askedAt });
  }

  /** Records that a process answered and did not tell which one it is; it need not be asked again. */
  recordUntold({ id, processStartedAt }: EndpointTarget): void {
    if (this.byEndpoint.get(id)?.processStartedAt === processStartedAt) return;
    this.set(id, { processStartedAt, askedAt: undefined });
  }

  /** Checks whether a listed process is known to tell nothing of itself. */
  isUntold({ id, processStartedAt }: EndpointTarget): boolean {
    const known = this.byEndpoint.get(id);
    return known?.processStartedAt === processStartedAt && known.askedAt === undefined;
  }

  /**
   * Checks whether a connection is known to be that of the listed process.
   *
   * @param openedAt - when the connection was open
   * @example
   * confirmed.covers(engine, response.openedAt); // false: nobody asked since
   */
  covers({ id, processStartedAt }: EndpointTarget, openedAt: Moment): boolean {
    const known = this.byEndpoint.get(id);
    if (known?.processStartedAt !== processStartedAt) return false;
    return known.askedAt !== undefined && openedAt <= known.askedAt;
  }

  private set(id: string, confirmed: ConfirmedProcess): void {
    this.byEndpoint.delete(id);
    this.byEndpoint.set(id, confirmed);
    this.removeOld();
  }

  private removeOld(): void {
    for (const id of this.byEndpoint.keys()) {
      if (this.byEndpoint.size <= this.maxEndpoints) return;
      this.byEndpoint.delete(id);
    }
  }
}
