/**
 * What an instance claims of its list of endpoints, in messages to peers. Offsets belong to the era of
 * the list's position.
 */
import type { FetchReply } from "../../peer/gen/fleet";
import type { LogPosition } from "../position";
import type { ListClaim } from "./coverage";

/** The offset of the last change if there was none in the era. */
const NO_OFFSET = -1;

/** The fields of a claim, in heartbeats, relayed heads and replies to fetches. */
type ClaimFields = Pick<
  FetchReply,
  "endpointsNext" | "endpointsEra" | "endpointsChange" | "endpointsRemovalsFrom"
>;

/**
 * Encodes a claim.
 *
 * @example
 * const head = { ...encodeClaim(directory.claim), storeLost: false };
 */
export function encodeClaim({ next, lastChange, removalsFrom }: ListClaim): {
  readonly [F in keyof ClaimFields]-?: number;
} {
  const { era, offset } = next;
  const readOffset = (position: LogPosition, earlier: number) =>
    position.era === era ? position.offset : earlier;
  return {
    endpointsNext: offset,
    endpointsEra: era,
    endpointsChange: readOffset(lastChange, NO_OFFSET),
    endpointsRemovalsFrom: readOffset(removalsFrom, offset),
  };
}

/**
 * Decodes a claim. An older build doesn't tell from where on it holds removals, so they count as missing.
 *
 * @example
 * const claim = decodeClaim(beat);
 */
export function decodeClaim(fields: ClaimFields): ListClaim {
  const { endpointsNext: offset, endpointsEra: era } = fields;
  const { endpointsChange = offset - 1, endpointsRemovalsFrom = offset } = fields;
  return {
    next: { era, offset },
    lastChange: { era, offset: endpointsChange },
    removalsFrom: { era, offset: endpointsRemovalsFrom },
  };
}
