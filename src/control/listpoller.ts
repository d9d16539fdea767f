/**
 * Polls the platform's list of instances and endpoints, and writes it to the blackboard.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { PeriodicTask } from "../core/tasks";
import type { InstanceList } from "../store/list";

const POLL_INTERVAL_MS = 500;

/** Polls the list at a fixed interval; a failed read leaves the last list in place. */
export class ListPoller {
  private readonly task: PeriodicTask;
  private isReading = false;

  constructor(
    private readonly board: Blackboard,
    private readonly list: InstanceList,
    private readonly clock: Clock,
    logger: Logger,
  ) {
    this.task = new PeriodicTask("read the list", POLL_INTERVAL_MS, logger, () => this.poll());
  }

  start(): void {
    this.task.start();
    this.task.run();
  }

  close(): void {
    this.task.close();
  }

  private async poll(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    try {
      const startedAt = this.clock.now();
      const entries = await this.list.read()();
      if (E.isLeft(entries)) return;
      this.board.platformList.write(entries.right);
      this.board.listSeenAt.write(startedAt);
    } finally {
      this.isReading = false;
    }
  }
}

/**
 * Checks whether an endpoint is leaving according to the list, to its own report or to a peer.
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
 * Checks whether an incarnation of an instance is gone: the instance is no longer listed, or runs
 * under another incarnation. An instance that is merely slow is still listed, and an empty list is
 * no evidence that an instance is gone.
 *
 * @param instance - the name of the instance
 * @param incarnation - the incarnation to check
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
