/**
 * Assigns pools to schedulers and endpoints to owners by rendezvous hashing over the reachable
 * instances. Two owners at the same time, for a moment, cause duplicate work but no error.
 */
import type { Blackboard } from "../board/board";
import type { Moment } from "../core/clock";
import { listPools } from "../core/pools";
import { chooseByRendezvousHash } from "../core/rendezvous";
import { listReachableInstances, type InstanceIdentity } from "./membership";

/**
 * Chooses the scheduler of a pool, preferably in the data centres of the pool.
 *
 * @param skippedInstances - instances that did not answer recently
 * @returns the name of the instance; this one where no other can be reached
 * @example
 * chooseScheduler(board, self, "drafter", clock.now(), new Set());
 */
export function chooseScheduler(
  board: Blackboard,
  self: InstanceIdentity,
  poolName: string,
  now: Moment,
  skippedInstances: ReadonlySet<string>,
): string {
  const pool = listPools(board.config.read().configuration).get(poolName);
  const isUsable = (name: string) => !skippedInstances.has(name);
  const local = listReachableInstances(board, self, now, pool?.dataCentres).filter(isUsable);
  const candidates =
    local.length > 0 ? local : listReachableInstances(board, self, now).filter(isUsable);
  return chooseByRendezvousHash(poolName, candidates) ?? self.instance;
}

/**
 * The endpoints that this instance owns: it reads their reports, detects that they are leaving, and
 * releases holds there whose owner is gone. Recomputed only when the configuration or the set of
 * reachable instances changes.
 */
export class OwnedEndpoints {
  private cacheKey = "";
  private names: ReadonlySet<string> = new Set();

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
  ) {}

  /** Lists the names of the owned endpoints. */
  list(now: Moment): ReadonlySet<string> {
    const { version, configuration } = this.board.config.read();
    const reachable = [...listReachableInstances(this.board, this.self, now)].sort();
    const basis = `${version} ${reachable.join(" ")}`;
    if (basis === this.cacheKey) return this.names;
    this.cacheKey = basis;
    const membersByDataCentre = new Map<string, readonly string[]>();
    const owned = Object.entries(configuration.endpoints).filter(([name, { dataCentre }]) => {
      const members =
        membersByDataCentre.get(dataCentre) ?? this.listInstancesIn(dataCentre, reachable, now);
      membersByDataCentre.set(dataCentre, members);
      return (
        members.includes(this.self.instance) &&
        chooseByRendezvousHash(name, members) === this.self.instance
      );
    });
    this.names = new Set(owned.map(([name]) => name));
    return this.names;
  }

  /** Lists the reachable instances of a data centre, or all instances where it has none. */
  private listInstancesIn(
    dataCentre: string,
    all: readonly string[],
    now: Moment,
  ): readonly string[] {
    const members = listReachableInstances(this.board, this.self, now, new Set([dataCentre]));
    return members.length > 0 ? members : all;
  }
}
