/**
 * Chooses the instances that keep a record for the whole fleet, in several data centres, so that it
 * outlives an instance and can be read on both sides of a cut.
 */
import { rankByRendezvousHash } from "../core/rendezvous";

/** Number of copies of a record, in as many data centres. */
const COPIES = 3;

/** An instance that may keep records. */
export interface ReplicaCandidate {
  readonly instance: string;
  readonly dataCentre: string;
}

/**
 * Chooses the instances that keep a record.
 *
 * @param standbys - number of further instances in each data centre, which had the record if the
 *   members were others a moment ago
 * @example
 * chooseReplicas("a request's id", members, 0).length; // 3
 */
export function chooseReplicas(
  name: string,
  candidates: readonly ReplicaCandidate[],
  standbys: number,
): readonly string[] {
  const byDataCentre = new Map<string, string[]>();
  for (const { instance, dataCentre } of candidates) {
    const members = byDataCentre.get(dataCentre) ?? [];
    members.push(instance);
    byDataCentre.set(dataCentre, members);
  }
  const dataCentres = rankByRendezvousHash(name, [...byDataCentre.keys()].sort()).slice(0, COPIES);
  const perDataCentre = Math.ceil(COPIES / Math.max(1, dataCentres.length)) + standbys;
  return dataCentres.flatMap((dataCentre) =>
    rankByRendezvousHash(name, (byDataCentre.get(dataCentre) ?? []).sort()).slice(0, perDataCentre),
  );
}
