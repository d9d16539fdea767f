/**
 * Decides whether a send certainly did not run its request, so that its caller may be told so and
 * another endpoint may run it. Without evidence the outcome is unknown.
 */
import * as E from "fp-ts/Either";
import { Verdict } from "../requests";
import type { OpenResponse } from "./answer";
import { type SendFailure, SendFailureKind } from "./sendfailure";

/** What shows that a request was not run. */
export const NotRunEvidence = {
  /** The endpoint says so in its own answer. */
  refusal: "refusal",
  /** Another process answers at the address, and says that it has not run the request. */
  misdirected: "misdirected",
  /** No connection was opened. */
  noConnection: "no connection",
  /** Nothing was sent, as the endpoint wants nothing now. */
  held: "held",
  /** Nothing was sent, as all connections were in use. */
  busy: "busy",
} as const;
export type NotRunEvidence = (typeof NotRunEvidence)[keyof typeof NotRunEvidence];

const EVIDENCE_OF_FAILURE: Readonly<Record<SendFailureKind, NotRunEvidence | undefined>> = {
  [SendFailureKind.held]: NotRunEvidence.held,
  [SendFailureKind.busy]: NotRunEvidence.busy,
  [SendFailureKind.down]: NotRunEvidence.noConnection,
  [SendFailureKind.unreachable]: NotRunEvidence.noConnection,
  [SendFailureKind.broken]: undefined,
  [SendFailureKind.foreign]: undefined,
};

const EVIDENCE_OF_VERDICT: Readonly<Record<Verdict, NotRunEvidence | undefined>> = {
  [Verdict.notRun]: NotRunEvidence.refusal,
  [Verdict.misdirected]: NotRunEvidence.misdirected,
  [Verdict.answered]: undefined,
  [Verdict.unauthentic]: undefined,
};

/**
 * Finds what shows that a send did not run its request; undefined if nothing does. An answer to
 * another exchange was sorted out before, as a failure whose outcome is unknown.
 *
 * @example
 * findNotRunEvidence(await client.send(send, signal)); // "refusal"
 */
export function findNotRunEvidence(
  opened: E.Either<SendFailure, OpenResponse>,
): NotRunEvidence | undefined {
  return E.isLeft(opened)
    ? EVIDENCE_OF_FAILURE[opened.left.kind]
    : EVIDENCE_OF_VERDICT[opened.right.head.verdict];
}
