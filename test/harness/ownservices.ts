/**
 * Plain services of the product's own interface, played in this process: raw answers without a length or chunks, and
 * deaths as the operating system shows them.
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import * as E from "fp-ts/Either";
import { HttpServiceClient } from "../../src/endpoint/service";
import type { AnswerFacts, Broken } from "../../src/store/brokenanswer";

const ATTEMPT = "a1";
/** A whole body, and its first part. */
export const WHOLE = "all of it";
export const PART = WHOLE.slice(0, 4);
/** The head of an answer that ends with its connection. */
export const HEAD = `HTTP/1.1 200 OK\r\nx-attempt-id: ${ATTEMPT}\r\nconnection: close\r\n\r\n`;

const closers: (() => void)[] = [];

/** Has something closed at the end of the test. */
export function closeLater(close: () => void): void {
  closers.push(close);
}

/** Closes all that was opened since the last call. */
export function closeAll(): void {
  for (const close of closers.splice(0)) close();
}

/** A process of a service, and all its connections, which end with it. */
export class ServiceProcess {
  readonly sockets: Socket[] = [];
  private readonly server: Server;

  /** @param answer - called with each connection on which something was sent */
  constructor(answer: (socket: Socket, self: ServiceProcess) => void) {
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on("error", () => undefined);
      socket.once("data", () => {
        answer(socket, this);
      });
    });
    closeLater(() => {
      this.server.close();
      for (const socket of this.sockets) socket.destroy();
    });
  }

  /** Has something done with each connection as it is accepted. */
  onAccepted(react: (socket: Socket) => void): this {
    this.server.on("connection", react);
    return this;
  }

  async listen(port = 0): Promise<number> {
    this.server.listen(port, "127.0.0.1");
    await once(this.server, "listening");
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops to listen; the connections stay. */
  stopListening(): void {
    this.server.close();
  }

  /** Ends as the operating system ends a process that dies: it listens no more, and all connections get a FIN. */
  die(): void {
    this.stopListening();
    for (const socket of this.sockets) socket.end();
  }

  /** Ends all connections but one. */
  endOthers(kept: Socket): void {
    for (const socket of this.sockets) if (socket !== kept) socket.end();
  }
}

/** What a caller got: the body of an answer, or whether the request was sent; and why answers were broken. */
export interface Outcome {
  readonly body: string | undefined;
  readonly isSent: boolean | undefined;
  readonly reasons: readonly string[];
}

/**
 * Calls a service, with so many bytes to upload.
 *
 * @example
 * (await callService(await service.listen())).body; // "all of it"
 */
export async function callService(port: number, uploadBytes = 0): Promise<Outcome> {
  const broken: Broken<AnswerFacts>[] = [];
  const client = new HttpServiceClient((answer) => broken.push(answer));
  const answer = await client.call(`http://127.0.0.1:${port}`, {
    attempt: ATTEMPT,
    method: "POST",
    path: "/",
    headers: {},
    body: Buffer.alloc(uploadBytes),
    timeoutMs: 5000,
    signal: new AbortController().signal,
  })();
  const body = E.isRight(answer) ? answer.right.body.toString() : undefined;
  const isSent = E.isLeft(answer) ? answer.left.isSent : undefined;
  return { body, isSent, reasons: broken.map(({ reason }) => reason) };
}
