/**
 * The interfaces between relaying and its streams.
 */
import type { RelayMessage } from "../../peer/gen/fleet";

/** One side of a stream between two instances. */
export interface RelayStream {
  /** Sends an encoded `RelayMessage`. */
  send(message: Uint8Array): void;
  /** False while what was sent has not left yet, since the peer or the way to it is slow. */
  isWritable(): boolean;
  close(): void;
}

/** Handles what happens on a stream. */
export interface RelayListener {
  onMessage(message: RelayMessage, bytes: number): void;
  /** @param isGraceful - true if the peer ended the stream; false if it broke */
  onClosed(isGraceful: boolean): void;
}

/** Opens streams. */
export interface RelayTransport {
  /** Opens a stream; undefined if the address can't be parsed. */
  openRelay(address: string, listener: RelayListener): RelayStream | undefined;
}
