/**
 * Who keeps the book of a pool, and who looks after an endpoint: the choice of rendezvous hashing
 * over the instances that can be reached. Two at a time for a moment cost only waste.
 */
import type { Board } from "../board/board";
import type { Moment } from "../core/clock";
import { listPools } from "../core/pools";
import { chooseMember } from "../core/rendezvous";
import { listReachable, type Self } from "./membership";

/**
 * Chooses the keeper of a pool's book.
 *
 * @param passedOver - instances that did not answer lately
 * @returns the instance; this one where no other can be reached
 * @example
 * chooseKeeper(board, self, "drafter", clock.now(), new Set());
 */
export function chooseKeeper(
  board: Board,
  self: Self,
  poolName: string,
  now: Moment,
  passedOver: ReadonlySet<string>,
): string {
  const pool = listPools(board.config.read().configuration).get(poolName);
  const isUsable = (name: string) => !passedOver.has(name);
  const near = listReachable(board, self, now, pool?.dataCentres).filter(isUsable);
  const all = near.length > 0 ? near : listReachable(board, self, now).filter(isUsable);
  return chooseMember(poolName, all) ?? self.instance;
}

/**
 * Checks whether this instance looks after an endpoint of its data centre: reads its reports,
 * notices that it leaves, and releases what the dead held there.
 *
 * @example
 * isWatcher(board, self, "decode-1", "nizwa", clock.now());
 */
export function isWatcher(
  board: Board,
  self: Self,
  endpoint: string,
  dataCentre: string,
  now: Moment,
): boolean {
  const near = listReachable(board, self, now, new Set([dataCentre]));
  const all = near.length > 0 ? near : listReachable(board, self, now);
  return chooseMember(endpoint, all) === self.instance;
}
