/**
 * Rendezvous hashing: all instances that see the same members choose the same one for a name.
 */
import { createHash } from "node:crypto";

/**
 * Chooses the member that is responsible for a name.
 *
 * @param name - the name to assign
 * @param members - the candidates
 * @returns the member with the highest weight, or undefined where there are no members
 * @example
 * chooseByRendezvousHash("drafter", ["nizwa-1", "nizwa-2"]);
 */
export function chooseByRendezvousHash(
  name: string,
  members: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = computeWeight(name, member);
    if (weight <= bestWeight) continue;
    best = member;
    bestWeight = weight;
  }
  return best;
}

/**
 * Ranks members for a name: the first one is responsible, the next ones take over in this order.
 *
 * @example
 * rankByRendezvousHash("readers", ["nizwa-1", "nizwa-2"])[0];
 */
export function rankByRendezvousHash(name: string, members: readonly string[]): readonly string[] {
  return members
    .map((member) => ({ member, weight: computeWeight(name, member) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ member }) => member);
}

function computeWeight(name: string, member: string): number {
  return createHash("sha1").update(name).update("\0").update(member).digest().readUIntBE(0, 6);
}
