/**
 * Servers that write each answer twice. The copy follows where the next answer on the same connection is due, so that a
 * client which keeps the connection meets the copy first.
 */
import type { Socket } from "node:net";
import { pause } from "../../src/core/clock";
import { RawEndpoint } from "./raw";

/** Far more than the turn of the event loop in which undici returns a connection, in milliseconds. */
const RETURN_MS = 20;

/** A server that answers as told, and repeats each answer before the next one on its connection. */
export class CopyingEndpoint extends RawEndpoint {
  /** How many copies it wrote: none where no connection carried a second call. */
  copyCount = 0;

  constructor(answer: (head: string) => Buffer) {
    const lastAnswers = new WeakMap<Socket, Buffer>();
    super((head, socket) => {
      const copy = lastAnswers.get(socket);
      const bytes = answer(head);
      lastAnswers.set(socket, bytes);
      if (copy !== undefined) this.copyCount += 1;
      socket.write(Buffer.concat([copy ?? Buffer.alloc(0), bytes]));
    });
  }
}

/** Waits until a client that keeps connections has returned that of its last call to its pool. */
export function waitUntilReturned(): Promise<void> {
  return pause(RETURN_MS);
}

/** Formats a whole response, framed by its length. */
export function formatAnswer(
  body: Buffer | string,
  status = 200,
  headers: Readonly<Record<string, string>> = {},
): Buffer {
  const bytes = Buffer.from(body);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 ${status} Answer\r\n${lines.join("")}content-length: ${bytes.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), bytes]);
}
