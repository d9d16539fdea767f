/**
 * Endpoints that write raw bytes, so that tests can produce malformed or incomplete HTTP.
 */
import {
  createServer as createNetServer,
  type AddressInfo,
  type Server,
  type Socket,
} from "node:net";

/** An endpoint that parses requests and leaves the bytes of each response to `answer`. */
export class RawEndpoint {
  readonly requests: string[] = [];
  readonly sockets = new Set<Socket>();
  /** Called with each connection before anything is read from it. */
  onAccept: ((socket: Socket) => void) | undefined;
  private readonly server: Server;

  constructor(private readonly answer: (head: string, socket: Socket) => void) {
    this.server = createNetServer((socket) => {
      this.sockets.add(socket);
      this.onAccept?.(socket);
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("error", () => undefined);
      let text = "";
      socket.on("data", (bytes) => {
        text += bytes.toString("latin1");
        for (;;) {
          const end = text.indexOf("\r\n\r\n");
          if (end < 0) return;
          const head = text.slice(0, end);
          const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? "0");
          if (text.length < end + 4 + length) return;
          text = text.slice(end + 4 + length);
          this.requests.push(head);
          this.answer(head, socket);
        }
      });
    });
  }

  /** @param port - a free one if not given */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(port, "127.0.0.1", resolve));
    return this.address;
  }

  /** IP address and port, once it listens. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Refuses new connections, as if the process had died; open ones are left to the test. */
  stopListening(): void {
    this.server.close();
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** Writes a complete response that echoes the request's `x-id`. */
export function writeAnswer(socket: Socket, head: string, body: string, status = "200 OK") {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}
