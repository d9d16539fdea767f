/**
 * A TCP proxy that makes connections fail: cut, or silent for good while new ones work.
 */
import { createServer, connect, type Server, type Socket } from "node:net";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** A proxy before one port. */
export class Proxy {
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  private isBlocked = false;

  constructor(private readonly target: number) {
    this.server = createServer((near) => {
      this.accept(near);
    });
  }

  /** Listens on a port of the loopback interface. */
  listen(port: number): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(port, "127.0.0.1", resolve);
    });
  }

  /** Breaks all open connections. */
  cut(): void {
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** Makes all open connections silent for good; new ones work. */
  freeze(): void {
    for (const { near, far } of this.pairs) {
      near.unpipe(far);
      far.unpipe(near);
      near.pause();
      far.pause();
    }
  }

  /** Breaks all connections and takes no new ones, until opened again. */
  block(): void {
    this.isBlocked = true;
    this.cut();
  }

  /** Lets connections through again. */
  unblock(): void {
    this.isBlocked = false;
  }

  close(): void {
    this.cut();
    this.server.close();
  }

  private accept(near: Socket): void {
    if (this.isBlocked) {
      near.destroy();
      return;
    }
    const far = connect(this.target, "127.0.0.1");
    const pair = { near, far };
    this.pairs.add(pair);
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.pipe(far);
    far.pipe(near);
    const end = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    for (const socket of [near, far]) {
      socket.on("error", end);
      socket.on("close", end);
    }
  }
}
