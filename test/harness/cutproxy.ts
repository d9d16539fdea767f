/**
 * TCP proxy between one instance and one endpoint that cuts this way as network faults do: connections hang, are reset,
 * or live on while new ones are refused. Each is a real condition of the sockets, so a connect that hangs gets no answer
 * from the kernel.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { MonotonicClock, pause } from "../../src/core/clock";
import { acceptWaiting } from "../../src/core/waiting";
import { DelayLine } from "./delayline";
import type { ListenerKeeper } from "./keeper";
import { findPorts } from "./ports";

/** What becomes of the connections through a proxy. */
export const CutMode = {
  pass: "pass",
  /** Open connections carry nothing and are not closed; a connect neither succeeds nor fails. */
  hang: "hang",
  /** As `hang`, but what open connections carry to the endpoint still arrives there. */
  hangAnswers: "hangAnswers",
  /** Open connections are reset, and new ones refused. */
  reset: "reset",
  /** Open connections live on, and new ones are refused. */
  refuseNew: "refuseNew",
} as const;
export type CutMode = (typeof CutMode)[keyof typeof CutMode];

/** Number of connections that wait to be accepted before the kernel leaves further ones without an answer. */
const BACKLOG = 16;
/** Number of connections that surely fill the backlog. */
const FILLER_COUNT = BACKLOG + 6;
/** Time after which a connect that has not succeeded counts as hanging, in milliseconds. */
const HANGING_MS = 100;
/** Time after which the acceptance of the waiting connections has begun after a cut, in milliseconds. */
const ACCEPT_MS = 10;
/** Longest time that it takes, one connection a turn of the loop, in milliseconds. */
const MAX_ACCEPT_MS = 1000;

const clock = new MonotonicClock();

/** A connection of the instance and the one to the endpoint that carries its bytes on. */
class Link {
  private isCarrying = false;
  private readonly requests: DelayLine;
  private readonly answers: DelayLine;

  constructor(
    private readonly client: Socket,
    private readonly upstream: Socket,
    readDelayMs: () => number,
    onClose: () => void,
  ) {
    this.requests = new DelayLine(readDelayMs);
    this.answers = new DelayLine(readDelayMs);
    this.requests.pipe(upstream);
    this.answers.pipe(client);
    for (const [socket, other] of [
      [client, upstream],
      [upstream, client],
    ] as const) {
      socket.setNoDelay(true);
      socket.on("error", () => {
        other.resetAndDestroy();
      });
      socket.on("close", () => {
        other.destroy();
        onClose();
      });
    }
  }

  /** Carries bytes both ways, also those that have waited. */
  carry(): void {
    if (this.isCarrying) return;
    this.isCarrying = true;
    this.client.unpipe(this.requests);
    this.client.pipe(this.requests);
    this.upstream.pipe(this.answers);
  }

  /** Stops carrying bytes without closing anything. */
  hold(mode: CutMode): void {
    this.isCarrying = false;
    this.client.unpipe(this.requests);
    this.upstream.unpipe(this.answers);
    this.upstream.pause();
    if (mode === CutMode.hangAnswers) this.client.pipe(this.requests);
    else this.client.pause();
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.upstream.resetAndDestroy();
  }
}

/** The way from one instance to one endpoint. */
export class CutProxy {
  /** Delay of each direction, in milliseconds. */
  delayMs = 0;
  private readonly links = new Set<Link>();
  private readonly fillers = new Set<Socket>();
  private readonly fillerPorts = new Set<number>();
  private server: Server | undefined;
  private port = 0;
  private mode: CutMode = CutMode.pass;

  /**
   * @param host - loopback address at which it listens; one that nothing connects from, so that its port stays free
   *   while it refuses connections
   * @param target - IP address and port of the endpoint
   */
  constructor(
    private readonly host: string,
    private readonly target: string,
    private readonly keeper: ListenerKeeper,
  ) {}

  /** IP address and port, once it listens. */
  get address(): string {
    return `${this.host}:${this.port}`;
  }

  /** Number of open connections. */
  get linkCount(): number {
    return this.links.size;
  }

  /** Listens on a port that no other test process takes while it refuses connections; returns the address. */
  async listen(): Promise<string> {
    [this.port = 0] = await findPorts(1, this.host);
    this.server = await this.startServer({ host: this.host, port: this.port, backlog: BACKLOG });
    return this.address;
  }

  /** Cuts the way; resolves once new connections fare as they should. */
  async cut(mode: CutMode): Promise<void> {
    await this.heal();
    this.mode = mode;
    if (mode === CutMode.reset) for (const link of this.links) link.reset();
    if (mode === CutMode.reset || mode === CutMode.refuseNew) this.stopListening();
    if (mode === CutMode.hang || mode === CutMode.hangAnswers) {
      for (const link of this.links) link.hold(mode);
      await this.stopAccepting();
    }
  }

  /** Ends a cut; what open connections held back is carried on. */
  async heal(): Promise<void> {
    const { mode } = this;
    this.mode = CutMode.pass;
    if (mode === CutMode.hang || mode === CutMode.hangAnswers) {
      for (const filler of this.fillers) filler.destroy();
      this.fillers.clear();
      const socket = await this.keeper.take(this.address);
      this.server = await this.startServer(socket);
      await pause(ACCEPT_MS);
      await acceptWaiting(this.server, clock, clock.now() + MAX_ACCEPT_MS);
      this.fillerPorts.clear();
      for (const link of this.links) link.carry();
    }
    if (mode === CutMode.reset || mode === CutMode.refuseNew) {
      this.server = await this.startServer({ host: this.host, port: this.port, backlog: BACKLOG });
    }
  }

  close(): void {
    this.stopListening();
    for (const link of this.links) link.reset();
    for (const filler of this.fillers) filler.destroy();
  }

  private stopListening(): void {
    this.server?.close();
    this.server = undefined;
  }

  /** Has the kernel leave connects without an answer: nobody accepts, and the backlog is full. */
  private async stopAccepting(): Promise<void> {
    if (this.server === undefined) return;
    await this.keeper.keep(this.address, this.server);
    this.stopListening();
    const isOpen = await Promise.all(Array.from({ length: FILLER_COUNT }, () => this.fill()));
    if (!isOpen.includes(false)) throw new Error(`connects to ${this.address} do not hang`);
  }

  private fill(): Promise<boolean> {
    const filler = connect({ host: this.host, port: this.port });
    filler.on("error", () => undefined);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        filler.destroy();
        resolve(false);
      }, HANGING_MS);
      filler.once("connect", () => {
        clearTimeout(timer);
        this.fillers.add(filler);
        this.fillerPorts.add(filler.localPort ?? 0);
        resolve(true);
      });
    });
  }

  private startServer(at: object): Promise<Server> {
    const server = createServer({ allowHalfOpen: true }, (client) => {
      this.accept(client);
    });
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(at, BACKLOG, () => {
        resolve(server);
      });
    });
  }

  private accept(client: Socket): void {
    if (this.fillerPorts.has(client.remotePort ?? 0)) {
      client.on("error", () => undefined);
      client.destroy();
      return;
    }
    const [host = "", port = ""] = this.target.split(":");
    const upstream = connect({ host, port: Number(port), allowHalfOpen: true });
    const link = new Link(
      client,
      upstream,
      () => this.delayMs,
      () => this.links.delete(link),
    );
    this.links.add(link);
    if (this.mode === CutMode.pass || this.mode === CutMode.refuseNew) link.carry();
    else link.hold(this.mode);
  }
}
