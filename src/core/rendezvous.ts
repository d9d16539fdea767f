/**
 * Rendezvous hashing: everyone who sees the same members chooses the same one for a name.
 */
import { createHash } from "node:crypto";

/**
 * Chooses the member that a name falls to.
 *
 * @param name - what has to be kept by someone
 * @param members - who could keep it
 * @returns the member of highest weight, or undefined where there is none
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

function computeWeight(name: string, member: string): number {
  return createHash("sha1").update(name).update("\0").update(member).digest().readUIntBE(0, 6);
}
