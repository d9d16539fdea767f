/**
 * Who keeps the book of a pool, and who looks after an endpoint: the choice of rendezvous hashing
 * over the instances that can be reached. Two at a time for a moment cost only waste.
 */
import type { Blackboard } from "../board/board";
import type { Moment } from "../core/clock";
import { listPools } from "../core/pools";
import { chooseByRendezvousHash } from "../core/rendezvous";
import { listReachableInstances, type InstanceIdentity } from "./membership";

/**
 * Chooses the keeper of a pool's book.
 *
 * @param skippedInstances - instances that did not answer lately
 * @returns the instance; this one where no other can be reached
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
 * The endpoints that this instance looks after: reads their reports, notices that they leave, and
 * releases what the dead held there. Worked out anew only when the configuration or the reachable
 * instances change.
 */
export class OwnedEndpoints {
  private cacheKey = "";
  private names: ReadonlySet<string> = new Set();

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
  ) {}

  /** Lists the names of the endpoints. */
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

  /** The instances of a data centre, or all where none of them can be reached. */
  private listInstancesIn(
    dataCentre: string,
    all: readonly string[],
    now: Moment,
  ): readonly string[] {
    const members = listReachableInstances(this.board, this.self, now, new Set([dataCentre]));
    return members.length > 0 ? members : all;
  }
}
