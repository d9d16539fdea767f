/** Connections to endpoints that a peer opens for this instance. */
import type { Duplex } from "node:stream";
import type * as E from "fp-ts/Either";
import type { ConnectionEnder } from "../../core/connectionender";
import type { EndpointTarget } from "../limits";

/** Why a peer opened no connection. */
export const TunnelFailureKind = {
  /** The endpoint refused the connection, and the peer reaches others: nothing listens. */
  refused: "refused",
  /** The peer does not reach the endpoint either, or has no room. */
  unreachable: "unreachable",
  /** The peer does not list this process of the endpoint. */
  unlisted: "unlisted",
  /** The peer did not answer in time. */
  silent: "silent",
} as const;
export type TunnelFailureKind = (typeof TunnelFailureKind)[keyof typeof TunnelFailureKind];

/** Event of a socket whose peer is told to stop: no further request should begin on it. */
export const LEAVING_EVENT = "leaving";

/** A connection to an endpoint, as an HTTP client uses it: a TCP socket or a tunnel. */
export interface EndpointSocket extends Duplex {
  readonly bytesRead: number;
  /** True once the endpoint has ended the connection, also while it is checked what that end proves. */
  readonly isEnding?: boolean;
  /** True once its peer is told to stop. */
  readonly isLeaving?: boolean;
  /** Who ended the connection; absent before its end. */
  readonly endedBy?: ConnectionEnder | undefined;
  /** Has an end that does not prove that an answer is whole fail from now on, if it doesn't always. */
  checkAnswers?(): void;
}

/** Opens connections to endpoints through peers. */
export interface TunnelOpener {
  /**
   * Opens one; those that are open are their holder's to close.
   *
   * @param isProbe - true if it only asks the endpoint about itself, which a peer that is told to stop serves too
   */
  open(
    peer: string,
    target: EndpointTarget,
    timeoutMs: number,
    isProbe?: boolean,
  ): Promise<E.Either<TunnelFailureKind, EndpointSocket>>;
  /** Opens none any more. */
  close(): void;
}
