/**
 * A TCP proxy that makes connections fail: cut, or silent for good while new ones work.
 */
import { createServer, connect, type Server, type Socket } from "node:net";

interface ConnectionPair {
  readonly client: Socket;
  readonly upstream: Socket;
}

/** A proxy before one port. */
export class Proxy {
  private readonly server: Server;
  private readonly pairs = new Set<ConnectionPair>();
  private isBlocked = false;

  constructor(private readonly target: number) {
    this.server = createServer((client) => {
      this.accept(client);
    });
  }

  /** Listens on a port of the loopback interface. */
  listen(port: number): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(port, "127.0.0.1", resolve);
    });
  }

  /** Breaks all open connections. */
  resetConnections(): void {
    for (const { client: client, upstream: upstream } of this.pairs) {
      client.destroy();
      upstream.destroy();
    }
  }

  /** Makes all open connections silent for good; new ones work. */
  stallConnections(): void {
    for (const { client: client, upstream: upstream } of this.pairs) {
      client.unpipe(upstream);
      upstream.unpipe(client);
      client.pause();
      upstream.pause();
    }
  }

  /** Breaks all connections and takes no new ones, until opened again. */
  block(): void {
    this.isBlocked = true;
    this.resetConnections();
  }

  /** Lets connections through again. */
  unblock(): void {
    this.isBlocked = false;
  }

  close(): void {
    this.resetConnections();
    this.server.close();
  }

  private accept(client: Socket): void {
    if (this.isBlocked) {
      client.destroy();
      return;
    }
    const upstream = connect(this.target, "127.0.0.1");
    const pair = { client, upstream };
    this.pairs.add(pair);
    client.setNoDelay(true);
    upstream.setNoDelay(true);
    client.pipe(upstream);
    upstream.pipe(client);
    const end = () => {
      client.destroy();
      upstream.destroy();
      this.pairs.delete(pair);
    };
    for (const socket of [client, upstream]) {
      socket.on("error", end);
      socket.on("close", end);
    }
  }
}
