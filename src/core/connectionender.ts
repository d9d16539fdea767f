/**
 * Who ended a connection to an endpoint. Only the endpoint can say by that end that an answer is whole; of its own
 * machine's end it is not known whether the process said it or died.
 */
export const ConnectionEnder = {
  /** Its own machine, as this process or a peer that relays saw. */
  endpoint: "endpoint",
  /** The peer that relays, on its own account. */
  relay: "relay",
  /** It broke, it is still open, or nobody said who ended it. */
  nobody: "nobody",
} as const;
export type ConnectionEnder = (typeof ConnectionEnder)[keyof typeof ConnectionEnder];

/**
 * Reads who ended a connection from a word of a peer.
 *
 * @example
 * readConnectionEnder("endpoint"); // ConnectionEnder.endpoint
 */
export function readConnectionEnder(word: string): ConnectionEnder {
  return Object.values(ConnectionEnder).find((ender) => ender === word) ?? ConnectionEnder.nobody;
}
