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
 * @param passedOver - instances that did not answer lately
 * @returns the instance; this one where no other can be reached
 * @example
 * chooseScheduler(board, self, "drafter", clock.now(), new Set());
 */
export function chooseScheduler(
  board: Blackboard,
  self: InstanceIdentity,
  poolName: string,
  now: Moment,
  passedOver: ReadonlySet<string>,
): string {
  const pool = listPools(board.config.read().configuration).get(poolName);
  const isUsable = (name: string) => !passedOver.has(name);
  const near = listReachableInstances(board, self, now, pool?.dataCentres).filter(isUsable);
  const all = near.length > 0 ? near : listReachableInstances(board, self, now).filter(isUsable);
  return chooseByRendezvousHash(poolName, all) ?? self.instance;
}

/**
 * The endpoints that this instance looks after: reads their reports, notices that they leave, and
 * releases what the dead held there. Worked out anew only when the configuration or the reachable
 * instances change.
 */
export class OwnedEndpoints {
  private basis = "";
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
    if (basis === this.basis) return this.names;
    this.basis = basis;
    const near = new Map<string, readonly string[]>();
    const watched = Object.entries(configuration.endpoints).filter(([name, { dataCentre }]) => {
      const members = near.get(dataCentre) ?? this.listNear(dataCentre, reachable, now);
      near.set(dataCentre, members);
      return (
        members.includes(this.self.instance) &&
        chooseByRendezvousHash(name, members) === this.self.instance
      );
    });
    this.names = new Set(watched.map(([name]) => name));
    return this.names;
  }

  /** The instances of a data centre, or all where none of them can be reached. */
  private listNear(dataCentre: string, all: readonly string[], now: Moment): readonly string[] {
    const near = listReachableInstances(this.board, this.self, now, new Set([dataCentre]));
    return near.length > 0 ? near : all;
  }
}
