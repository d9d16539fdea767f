/**
 * Reads the platform's list onto the blackboard.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import type { InstanceList } from "../store/list";

const POLL_INTERVAL_MS = 500;

/** Reads the list again and again. */
export class ListPoller {
  private timer: NodeJS.Timeout | undefined;
  private isReading = false;

  constructor(
    private readonly board: Blackboard,
    private readonly list: InstanceList,
    private readonly clock: Clock,
  ) {}

  start(): void {
    this.timer = setInterval(() => void this.poll(), POLL_INTERVAL_MS);
    void this.poll();
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async poll(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const startedAt = this.clock.now();
    const entries = await this.list.read()();
    this.isReading = false;
    if (E.isLeft(entries)) return;
    this.board.platformList.write(entries.right);
    this.board.listSeenAt.write(startedAt);
  }
}

/**
 * Checks whether the list says that an endpoint leaves, or it said so itself, or a peer did.
 *
 * @example
 * isEndpointLeaving(board, "decode-1", clock.now());
 */
export function isEndpointLeaving(board: Blackboard, endpoint: string, now: Moment): boolean {
  if ((board.leaving.get(endpoint) ?? 0) > now) return true;
  return board.platformList
    .read()
    .some(
      (entry) => entry.kind === "endpoint" && entry.name === endpoint && entry.state === "leaving",
    );
}

/**
 * Checks whether a run of an instance is gone: its name is no longer listed, or the instance runs
 * under another incarnation. An instance that is only slow is still listed.
 *
 * @param instance - the name of the instance
 * @param incarnation - the run in question
 * @example
 * isIncarnationGone(board, "nizwa-1", "nizwa-1/5f0c");
 */
export function isIncarnationGone(
  board: Blackboard,
  instance: string,
  incarnation: string,
): boolean {
  const known = board.members.get(instance);
  if (known !== undefined && known.incarnation !== incarnation) return true;
  const list = board.platformList.read();
  return (
    list.length > 0 && !list.some((entry) => entry.kind === "instance" && entry.name === instance)
  );
}
