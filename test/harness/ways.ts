/**
 * Ways from one instance and its peers to endpoints in virtual time, each of which may be cut in several manners.
 */
import { PassThrough } from "node:stream";
import { mock } from "node:test";
import * as E from "fp-ts/Either";
import { ManualClock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import type { EndpointEntry } from "../../src/fleet/entries";
import type { ReplicaCandidate } from "../../src/fleet/replicas";
import { Dialer, type EndpointDialer } from "../../src/forward/tunnels/dialer";
import {
  DialFailure,
  DialFailureKind,
  type DialledSocket,
} from "../../src/forward/tunnels/dialrun";
import { type DirectOpener, TcpOpener } from "../../src/forward/tunnels/directopener";
import type { EndpointTarget } from "../../src/forward/limits/gate";
import { DirectLinkChecker, type LinkChecker } from "../../src/forward/tunnels/linkcheck";
import { PathTracker } from "../../src/forward/tunnels/paths";
import {
  type EndpointSocket,
  TunnelFailureKind,
  type TunnelOpener,
} from "../../src/forward/tunnels/openers";
import { createEntry } from "./forward";

/** How a way, or an endpoint's machine, answers a connect. */
export const WayState = {
  open: "open",
  refuse: "refuse",
  reset: "reset",
  hang: "hang",
  /** Connections are established and reset at once. */
  break: "break",
} as const;
export type WayState = (typeof WayState)[keyof typeof WayState];

/** The name of the instance that dials. */
export const SELF = "self";
/** How long an open way takes to connect, in milliseconds. */
const CONNECT_MS = 2;
const PEER_HOP_MS = 3;
const PEER_CONNECT_TIMEOUT_MS = 150;
const BREAK_MS = 1;
/** Step of the virtual time, in milliseconds. */
const STEP_MS = 1;

const ERROR_CODES = { refuse: "ECONNREFUSED", reset: "ECONNRESET" } as const;

const NO_HISTORY = { okAt: Number.NEGATIVE_INFINITY, failedAt: Number.NEGATIVE_INFINITY };

class FakeSocket extends PassThrough implements EndpointSocket {
  readonly bytesRead = 0;
}

/** The ways to some endpoints, the dialer under test, and what it did. */
export class Ways {
  readonly clock = new ManualClock(10_000);
  readonly paths: PathTracker;
  readonly dialer: Dialer;
  /** By instance and endpoint; a missing way is open. */
  readonly states = new Map<string, WayState>();
  /** States of the endpoints themselves; a missing one is up. */
  readonly endpoints = new Map<string, WayState>();
  readonly silentPeers = new Set<string>();
  /** By peer: how long its answers take, in milliseconds; those of others take {@link PEER_HOP_MS}. */
  readonly answerMs = new Map<string, number>();
  /** When the instance connected directly, and to what. */
  readonly directAt: { readonly id: string; readonly at: number }[] = [];
  readonly asked: { readonly peer: string; readonly id: string }[] = [];
  /** The peers that are leaving, beside the others. */
  leaving: readonly ReplicaCandidate[] = [];
  readonly events: string[] = [];
  readonly openSockets = new Set<EndpointSocket>();
  /** The endpoints that instances may check their links by. */
  private readonly listed: EndpointEntry[] = [];
  private readonly links = new Map<string, LinkChecker>();

  constructor(
    readonly peers: readonly ReplicaCandidate[],
    random: () => number = Math.random,
  ) {
    this.paths = new PathTracker(random);
    this.dialer = new Dialer({
      paths: this.paths,
      direct: this.createDirect(),
      tunnels: this.createTunnels(),
      links: this.findLinks(SELF),
      clock: this.clock,
      logger: SILENT_LOGGER,
      listener: {
        onWayLost: ({ id }, failure, asked) => {
          this.events.push(`lost ${id} ${failure} ${asked}`);
        },
        onWayBack: ({ id }) => {
          this.events.push(`back ${id}`);
        },
        onWayUnknown: ({ id }) => {
          this.events.push(`unknown ${id}`);
        },
      },
      listPeers: () => this.peers,
      listLeavingPeers: () => this.leaving,
      findDataCentre: () => "nizwa",
      onConnection: ({ peer }) => {
        this.events.push(`connected ${peer ?? "directly"}`);
      },
    });
  }

  /** Lists an endpoint. */
  list(id: string): void {
    this.listed.push(createEntry(id, id));
  }

  /** Sets how a way of an instance answers. */
  cut(instance: string, id: string, state: WayState): void {
    this.states.set(`${instance} ${id}`, state);
  }

  /** Dials, and moves the time until the dial ends; returns how long it took. */
  async dial(target: EndpointTarget, isDirectOnly = false) {
    const startedAt = this.clock.now();
    const result = await this.wait(this.dialer.dial(target, { isDirectOnly }));
    return { result, tookMs: this.clock.now() - startedAt };
  }

  /** Moves the time until a promise resolves. */
  async wait<T>(promise: Promise<T>): Promise<T> {
    let isDone = false;
    const marked = promise.finally(() => (isDone = true));
    while (!isDone) await this.advance(STEP_MS);
    return marked;
  }

  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await flush();
      this.clock.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      await flush();
    }
  }

  private readState(instance: string, id: string): WayState {
    const way = this.states.get(`${instance} ${id}`) ?? WayState.open;
    return way === WayState.open ? (this.endpoints.get(id) ?? WayState.open) : way;
  }

  private findLinks(instance: string): LinkChecker {
    const known = this.links.get(instance);
    if (known !== undefined) return known;
    const links = new DirectLinkChecker({
      direct: this.createOpener(instance),
      listEndpoints: () => this.listed,
      findDataCentre: () => "nizwa",
      readHistory: () => NO_HISTORY,
    });
    this.links.set(instance, links);
    return links;
  }

  private createDirect(): DirectOpener {
    const opener = this.createOpener(SELF);
    return {
      open: (address, timeoutMs) => {
        this.directAt.push({ id: address, at: this.clock.now() });
        return opener.open(address, timeoutMs);
      },
    };
  }

  private createOpener(instance: string): DirectOpener {
    return {
      open: async (address, timeoutMs) => {
        const state = this.readState(instance, address);
        if (state === WayState.hang) {
          await pause(timeoutMs);
          return E.left(createError("UND_ERR_CONNECT_TIMEOUT"));
        }
        await pause(CONNECT_MS);
        if (state === WayState.refuse || state === WayState.reset) {
          return E.left(createError(ERROR_CODES[state]));
        }
        const socket = this.createSocket();
        if (state === WayState.break) {
          setTimeout(() => {
            socket.destroy(createError(ERROR_CODES.reset));
          }, BREAK_MS);
        }
        return E.right(socket);
      },
    };
  }

  private createTunnels(): TunnelOpener {
    return {
      close: () => undefined,
      open: async (peer, target, timeoutMs) => {
        this.asked.push({ peer, id: target.id });
        if (this.silentPeers.has(peer)) {
          await pause(timeoutMs);
          return E.left(TunnelFailureKind.silent);
        }
        const answerMs = this.answerMs.get(peer) ?? PEER_HOP_MS;
        await pause(Math.min(answerMs, timeoutMs));
        if (answerMs > timeoutMs) return E.left(TunnelFailureKind.silent);
        const state = this.readState(peer, target.id);
        if (state === WayState.open) return E.right(this.createSocket());
        if (state === WayState.refuse) return E.left(await this.classifyRefusal(peer, target));
        if (state === WayState.hang) await pause(PEER_CONNECT_TIMEOUT_MS - PEER_HOP_MS);
        return E.left(TunnelFailureKind.unreachable);
      },
    };
  }

  /** Answers as a peer does that is refused. */
  private async classifyRefusal(peer: string, { id }: EndpointTarget): Promise<TunnelFailureKind> {
    const isLinkSound = await this.findLinks(peer).check(id);
    return isLinkSound ? TunnelFailureKind.refused : TunnelFailureKind.unreachable;
  }

  private createSocket(): FakeSocket {
    const socket = new FakeSocket();
    socket.on("error", () => undefined);
    this.openSockets.add(socket);
    socket.once("close", () => this.openSockets.delete(socket));
    return socket;
  }
}

/** Creates the target of an endpoint, in virtual time with its id as address. */
export function createTarget(id: string, processStartedAt = 1, address = id): EndpointTarget {
  return { id, address, processStartedAt };
}

/** Dials directly over TCP, for tests without peers. */
export class DirectDialer implements EndpointDialer {
  private readonly opener = new TcpOpener();

  async dial({ address }: EndpointTarget): Promise<E.Either<DialFailure, DialledSocket>> {
    const opened = await this.opener.open(address, PEER_CONNECT_TIMEOUT_MS);
    return E.isRight(opened)
      ? E.right({ socket: opened.right, peer: undefined })
      : E.left(new DialFailure(DialFailureKind.unreachable, opened.left.message));
  }

  canReuse(): boolean {
    return true;
  }

  checkDirect(): void {
    // There is no way but the direct one.
  }

  close(): void {
    // It keeps nothing open.
  }
}

/** A link that is never cut. */
export const SOUND_LINK: LinkChecker = { check: () => Promise.resolve(true) };

/** Creates peers in the data centre of the endpoints. */
export function createPeers(count: number): readonly ReplicaCandidate[] {
  return Array.from({ length: count }, (_, at) => ({ instance: `p${at}`, dataCentre: "nizwa" }));
}

function createError(code: string): Error {
  return Object.assign(new Error(code), { code, errno: -1 });
}

/** Lets everything run that is due without the time moving. */
async function flush(): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
