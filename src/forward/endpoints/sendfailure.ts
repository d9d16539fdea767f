/**
 * Why a send or call to an endpoint got no response.
 */
import { isConnectionRefused, isConnectError } from "../../store/http";

/** Why a send or call got no response. */
export const SendFailureKind = {
  /** Held back by the gate: the endpoint asked for a pause, is leaving, or its limit is used up. */
  held: "held",
  /** All connections that this instance may open to the endpoint are in use. */
  busy: "busy",
  /** Nothing listens at the address (connection refused). */
  down: "down",
  /** No connection could be opened. */
  unreachable: "unreachable",
  /** The request may have been sent. */
  broken: "broken",
  /**
   * The answer on the connection was to another exchange. The request was sent, and its own answer
   * is not known.
   */
  foreign: "foreign",
} as const;
export type SendFailureKind = (typeof SendFailureKind)[keyof typeof SendFailureKind];

/** A send or call that got no response. */
export class SendFailure extends Error {
  override readonly name = "SendFailure";

  constructor(
    readonly kind: SendFailureKind,
    message: string,
  ) {
    super(message);
  }

  /** False only if no byte of the request can have left. */
  get isSent(): boolean {
    return this.kind === SendFailureKind.broken || this.kind === SendFailureKind.foreign;
  }

  /** True if an answer to another exchange came, so that the endpoint is up. */
  get isForeign(): boolean {
    return this.kind === SendFailureKind.foreign;
  }

  /** True if the failure says nothing about the endpoint's health. */
  get isLocal(): boolean {
    return this.kind === SendFailureKind.held || this.kind === SendFailureKind.busy;
  }
}

/**
 * Creates the failure of a send from the error of its connection.
 *
 * @example
 * createFailure(error).isSent;
 */
export function createFailure(error: unknown): SendFailure {
  const { code, message } = error as { code?: string; message?: string };
  const text = [code, message].filter((part) => part !== undefined && part !== "").join(" ");
  return new SendFailure(classifyError(error), text);
}

function classifyError(error: unknown): SendFailureKind {
  if (isConnectionRefused(error)) return SendFailureKind.down;
  return isConnectError(error) ? SendFailureKind.unreachable : SendFailureKind.broken;
}

/**
 * Creates the failure of a send that the gate held back.
 *
 * @example
 * createHeldFailure().isLocal; // true
 */
export function createHeldFailure(): SendFailure {
  const message =
    "the endpoint asked for a pause, is leaving, is evacuated, or its limit is used up";
  return new SendFailure(SendFailureKind.held, message);
}
