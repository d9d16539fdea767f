/**
 * Encodes evacuations of data centres for peers, and decodes those that they know.
 */
import type { Evacuation } from "../peer/gen/fleet";
import type { EvacuationRecord } from "./evacuations";

/**
 * Encodes what is known of the evacuation of a data centre.
 *
 * @example
 * const evacuations = watcher.evacuations.list().map(encodeEvacuation);
 */
export function encodeEvacuation(record: EvacuationRecord): Evacuation {
  const { dataCentre, isEvacuated: evacuated, position } = record;
  return { dataCentre, evacuated, offset: position.offset, era: position.era };
}

/**
 * Decodes what a peer knows of the evacuation of a data centre.
 *
 * @example
 * watcher.applyEvacuations(beat.evacuations.map(decodeEvacuation), "peer nizwa-1");
 */
export function decodeEvacuation(evacuation: Evacuation): EvacuationRecord {
  const { dataCentre, evacuated: isEvacuated, offset, era } = evacuation;
  return { dataCentre, isEvacuated, position: { era, offset } };
}
