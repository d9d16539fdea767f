/**
 * Endpoints that answer a request by its head alone, without reading the rest of it, and the ways in which they end an
 * answer that only the end of its connection delimits.
 */
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** Bytes of the body that come before an answer is cut. */
export const PART = "x".repeat(300);

/** How an endpoint ends its connection within an answer. */
export const CUTS = {
  "reset in the same moment": (socket) => {
    socket.resetAndDestroy();
  },
  "reset moments later": (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 5);
  },
  "closed, and reset moments later": (socket) => {
    socket.end();
    setTimeout(() => socket.resetAndDestroy(), 3);
  },
} as const satisfies Readonly<Record<string, (socket: Socket) => void>>;

/**
 * Checks whether a cut can be told from a proper end: a reset behind one is seen only while an upload is under way, or
 * just was.
 */
export function isShown(cutName: string, uploadBytes: number): boolean {
  return cutName !== "closed, and reset moments later" || uploadBytes > 0;
}

/** Heads after which the body ends with its connection. */
export const UNFRAMED_HEADS = {
  "no length": (more) => `HTTP/1.1 200 OK\r\n${more}\r\n`,
  "connection: close": (more) => `HTTP/1.1 200 OK\r\n${more}connection: close\r\n\r\n`,
  "HTTP/1.0": (more) => `HTTP/1.0 200 OK\r\n${more}\r\n`,
} as const satisfies Readonly<Record<string, (more: string) => string>>;

/** Answers once the head of a request is there; what follows the head is not read. */
export type HeadAnswer = (head: string, socket: Socket) => void;

/** An endpoint that reads the head of each request, and leaves the rest to its answer. */
export class HeadEndpoint {
  readonly heads: string[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly answer: HeadAnswer) {
    this.server = createServer({ allowHalfOpen: true }, (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("error", () => undefined);
      this.readHead(socket);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Refuses new connections, as if the process had died; open ones are left to the answer. */
  stopListening(): void {
    this.server.close();
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private readHead(socket: Socket): void {
    let text = "";
    const onData = (bytes: Buffer) => {
      text += bytes.toString("latin1");
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) return;
      socket.off("data", onData).pause();
      const head = text.slice(0, end);
      this.heads.push(head);
      this.answer(head, socket);
    };
    socket.on("data", onData);
  }
}

/** Reads the rest of a request's body, of which all but the head is still to come. */
export function readRest(head: string, socket: Socket, onRead: () => void): void {
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? "0");
  // The head was read with the first bytes of the body, which are not counted again.
  let left = length - (socket.bytesRead - socket.readableLength - head.length - 4);
  if (left <= 0) onRead();
  socket.on("data", (bytes) => {
    if (left <= 0) return;
    left -= bytes.length;
    if (left <= 0) onRead();
  });
  socket.resume();
}
