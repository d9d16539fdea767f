/**
 * What shows that an answer of an endpoint is whole, for the log and the metrics.
 */

/** What shows that an answer is whole. */
export const EndProof = {
  /** Its length or its chunks. */
  framing: "framing",
  /** Its connection ended without an error, and its endpoint takes connections. */
  endpointUp: "endpoint up",
} as const;
export type EndProof = (typeof EndProof)[keyof typeof EndProof];

/**
 * Finds what shows that an answer is whole that was taken for it.
 *
 * @example
 * findEndProof({ isFramed: true }); // "framing"
 */
export function findEndProof({ isFramed }: { readonly isFramed: boolean }): EndProof {
  return isFramed ? EndProof.framing : EndProof.endpointUp;
}
