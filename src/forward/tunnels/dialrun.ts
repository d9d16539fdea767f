/**
 * One dial of an endpoint: tries the direct way and ways over peers until a connection is
 * established. Connecting carries no bytes of a request, so it is safe to try several ways.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Clock, type Moment } from "../../core/clock";
import { formatStack } from "../../core/log";
import { isConnectionRefused } from "../../store/http";
import type { DirectOpener } from "./directopener";
import type { EndpointTarget } from "../limits";
import type { LinkChecker } from "./linkcheck";
import { type EndpointSocket, TunnelFailureKind, type TunnelOpener } from "./openers";

/** Timeout of a direct connect, in milliseconds; far more than a round trip. */
export const DIRECT_TIMEOUT_MS = 250;
/** How long the direct way is tried alone, in milliseconds. */
const DIRECT_HEADSTART_MS = 40;
/**
 * How long a peer is asked alone by a probe, which hears as many peers as it can, before the next one
 * is asked as well, in milliseconds.
 */
const PROBE_STAGGER_MS = 30;
/** Timeout of a whole dial, in milliseconds; longer only where this process is late to ask a peer. */
const DIAL_TIMEOUT_MS = 450;
/** The least time for all peers, in milliseconds. */
const PEERS_TIMEOUT_MS = DIAL_TIMEOUT_MS - DIRECT_HEADSTART_MS;
/** How long a new connection must last for it to prove that the way is open, in milliseconds. */
export const SETTLE_MS = 15;
/** Number of instances that must be refused: one alone may be cut off from this endpoint only. */
const MIN_REFUSALS = 2;

/** Why a dial established no connection. */
export const DialFailureKind = {
  /** Nothing listens at the endpoint's address. */
  refused: "refused",
  /** It is not known whether the endpoint is up. */
  unreachable: "unreachable",
} as const;
export type DialFailureKind = (typeof DialFailureKind)[keyof typeof DialFailureKind];

/** The error codes by which users of HTTP clients tell the kinds. */
const CODES = { refused: "ECONNREFUSED", unreachable: "UND_ERR_CONNECT_TIMEOUT" } as const;

/** A dial that established no connection. */
export class DialFailure extends Error {
  override readonly name = "DialFailure";
  readonly code: string;

  constructor(
    readonly kind: DialFailureKind,
    message: string,
    /** True if the direct connection was refused, by the endpoint or by a cut of this instance's link. */
    readonly isRefusedDirectly = false,
  ) {
    super(message);
    this.code = CODES[kind];
  }
}

/** An established connection to an endpoint. */
export interface DialledSocket {
  readonly socket: EndpointSocket;
  /** The peer that opened it; undefined for a direct one. */
  readonly peer: string | undefined;
}

/** Which ways a dial tries. */
export interface DialPlan {
  readonly canDialDirectly: boolean;
  /** True if the direct way is tried before the peers, else after them. */
  readonly isDirectFirst: boolean;
  /** The peers to ask, in this order. */
  readonly peers: readonly string[];
  /** How long a peer is asked alone before the next one is asked as well, in milliseconds. */
  readonly peerStaggerMs: number;
  /** True if there are other instances that could be asked. */
  readonly hasPeers: boolean;
  /** True if a peer found a moment ago that nothing listens. */
  readonly isRefusedByPeer: boolean;
  /** True to learn whether the endpoint is up: a direct connection must last for a moment. */
  readonly isProbe: boolean;
  /** True if the connection only carries a question about the endpoint itself. */
  readonly isQuestion?: boolean | undefined;
  /** True if some peers may not be asked, so that a failure says nothing of their ways. */
  readonly isRestricted?: boolean;
}

/** Told of what a dial finds out. */
export interface DialObserver {
  onDirectSuccess(target: EndpointTarget, socket: EndpointSocket): void;
  onDirectFailure(target: EndpointTarget, failure: DirectFailure): void;
  onPeerSuccess(target: EndpointTarget, success: PeerSuccess): void;
  onPeerFailure(target: EndpointTarget, failure: PeerFailure): void;
}

/** A direct connect that failed. */
export interface DirectFailure {
  readonly message: string;
  readonly startedAt: Moment;
  /** Number of peers that the dial had asked. */
  readonly asked: number;
}

/** A peer that opened a connection. */
export interface PeerSuccess {
  readonly peer: string;
  /** When it was asked. */
  readonly askedAt: Moment;
  /** Number of peers that the dial had asked. */
  readonly asked: number;
}

/** A peer that opened no connection. */
export interface PeerFailure {
  readonly peer: string;
  readonly kind: TunnelFailureKind;
  /** When it was asked. */
  readonly askedAt: Moment;
}

/** Dependencies of a dial. */
export interface DialRunParts {
  readonly direct: DirectOpener;
  readonly tunnels: TunnelOpener;
  readonly links: LinkChecker;
  readonly clock: Clock;
  readonly observer: DialObserver;
}

type DialResult = E.Either<DialFailure, DialledSocket>;

/** One dial. */
export class DialRun {
  private deadline: Moment;
  private askedCount = 0;
  private openCount = 0;
  /** Number of peers that did not answer in time. */
  private silentCount = 0;
  private hasTriedDirect = false;
  private directError: Error | undefined;
  private isRefusedDirectly = false;
  /** Number of instances that were refused and whose links are sound. */
  private refusalCount: number;
  private timer: NodeJS.Timeout | undefined;
  private hasEnded = false;
  private resolve: (result: DialResult) => void = () => undefined;

  constructor(
    private readonly parts: DialRunParts,
    private readonly target: EndpointTarget,
    private readonly plan: DialPlan,
  ) {
    this.deadline = parts.clock.now() + DIAL_TIMEOUT_MS;
    this.refusalCount = plan.isRefusedByPeer ? 1 : 0;
  }

  /** True if all peers were asked and answered, so that a failure says something about the endpoint. */
  get hasHeardAll(): boolean {
    return this.silentCount === 0 && this.askedCount === this.plan.peers.length;
  }

  /** Resolves with the first connection that is established; the others are closed. */
  run(): Promise<DialResult> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (!this.plan.isDirectFirst) {
        this.advance();
        return;
      }
      this.guard(() => this.openDirect());
      this.scheduleAdvance(DIRECT_HEADSTART_MS);
    });
  }

  /** Tries the next way; fails if all have failed. */
  private advance(): void {
    this.clearTimer();
    if (this.hasEnded) return;
    const peer = this.plan.peers[this.askedCount];
    if (this.askedCount === 0) this.reserveTime();
    if (peer !== undefined && this.parts.clock.now() < this.deadline) {
      this.askedCount += 1;
      this.guard(() => this.openThrough(peer));
      const { isProbe, peerStaggerMs } = this.plan;
      this.scheduleAdvance(isProbe ? PROBE_STAGGER_MS : peerStaggerMs);
    } else if (this.plan.canDialDirectly && !this.hasTriedDirect)
      this.guard(() => this.openDirect());
    else if (this.openCount === 0) this.finish(E.left(this.createFailure()));
  }

  /** Keeps the time for peers, also where this process stood still while it connected directly. */
  private reserveTime(): void {
    this.deadline = Math.max(this.deadline, this.parts.clock.now() + PEERS_TIMEOUT_MS);
  }

  private scheduleAdvance(ms: number): void {
    const timer = setTimeout(() => {
      // After a pause of this process, an established connection is reported behind the timer.
      setImmediate(() => {
        this.guard(() => {
          if (this.timer === timer) this.advance();
        });
      });
    }, ms);
    this.timer = timer;
  }

  /** Runs a step; an unexpected error in it ends this dial. */
  private guard(step: () => Promise<void> | void): void {
    const run = async () => {
      await step();
    };
    run().catch((error: unknown) => {
      const message = `the dial failed: ${formatStack(error)}`;
      this.finish(E.left(new DialFailure(DialFailureKind.unreachable, message, false)));
    });
  }

  private clearTimer(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private async openDirect(): Promise<void> {
    const { clock, observer } = this.parts;
    const startedAt = clock.now();
    this.hasTriedDirect = true;
    this.openCount += 1;
    const timeoutMs = Math.min(DIRECT_TIMEOUT_MS, computeRemainingMs(this.deadline, startedAt));
    const opened = await openDirectly(this.parts.direct, this.target, {
      timeoutMs,
      mustSettle: this.plan.isProbe,
    });
    this.openCount -= 1;
    if (E.isRight(opened)) {
      observer.onDirectSuccess(this.target, opened.right);
      this.finish(E.right({ socket: opened.right, peer: undefined }));
      return;
    }
    this.directError = opened.left;
    if (isConnectionRefused(opened.left)) this.recordDirectRefusal();
    const { message } = opened.left;
    observer.onDirectFailure(this.target, { message, startedAt, asked: this.askedCount });
    this.advance();
  }

  /** Counts a direct refusal; one that decides whether the endpoint is up needs a sound link. */
  private recordDirectRefusal(): void {
    this.isRefusedDirectly = true;
    if (this.plan.isProbe) this.guard(() => this.confirmRefusal());
    else this.refusalCount += 1;
  }

  private async confirmRefusal(): Promise<void> {
    this.openCount += 1;
    const isLinkSound = await this.parts.links.check(this.target.id);
    this.openCount -= 1;
    if (isLinkSound) this.refusalCount += 1;
    if (this.openCount === 0) this.advance();
  }

  private async openThrough(peer: string): Promise<void> {
    const { tunnels, clock, observer } = this.parts;
    const askedAt = clock.now();
    this.openCount += 1;
    // The next way is tried beside it, so that it may take the time of the whole dial.
    const timeoutMs = computeRemainingMs(this.deadline, askedAt);
    const isProbe = this.plan.isProbe || this.plan.isQuestion === true;
    const opened = await tunnels.open(peer, this.target, timeoutMs, isProbe);
    this.openCount -= 1;
    if (E.isRight(opened)) {
      observer.onPeerSuccess(this.target, { peer, askedAt, asked: this.askedCount });
      this.finish(E.right({ socket: opened.right, peer }));
      return;
    }
    if (opened.left === TunnelFailureKind.refused) this.refusalCount += 1;
    if (opened.left === TunnelFailureKind.silent) this.silentCount += 1;
    observer.onPeerFailure(this.target, { peer, kind: opened.left, askedAt });
    this.advance();
  }

  private finish(result: DialResult): void {
    if (this.hasEnded) {
      if (E.isRight(result)) discardSocket(result.right.socket);
      return;
    }
    this.hasEnded = true;
    this.clearTimer();
    this.resolve(result);
  }

  private createFailure(): DialFailure {
    const isAlone = !this.plan.hasPeers && this.isRefusedDirectly && this.refusalCount > 0;
    const isRefused = isAlone || this.refusalCount >= MIN_REFUSALS;
    const direct = this.directError?.message ?? "not tried";
    return new DialFailure(
      isRefused ? DialFailureKind.refused : DialFailureKind.unreachable,
      `no connection: directly: ${direct}; peers asked: ${this.askedCount}`,
      this.isRefusedDirectly,
    );
  }
}

/** How a direct connection is opened. */
export interface DirectOptions {
  readonly timeoutMs: number;
  readonly mustSettle: boolean;
}

/**
 * Opens a direct connection that lasts.
 *
 * @example
 * await openDirectly(opener, target, { timeoutMs: 250, mustSettle: true });
 */
export async function openDirectly(
  opener: DirectOpener,
  target: EndpointTarget,
  { timeoutMs, mustSettle }: DirectOptions,
): Promise<E.Either<Error, EndpointSocket>> {
  const opened = await opener.open(target.address, timeoutMs);
  if (E.isLeft(opened) || !mustSettle) return opened;
  const socket = opened.right;
  await waitForClose(socket, SETTLE_MS);
  return socket.destroyed ? E.left(new Error("the connection broke at once")) : opened;
}

/** Resolves once a connection closed, or after a delay. */
function waitForClose(socket: EndpointSocket, ms: number): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      socket.off("close", finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    socket.once("close", finish);
    // Without a reader, a reset is seen only where the stream flows.
    socket.resume();
  });
}

/**
 * Closes a connection that is not needed.
 *
 * @example
 * discardSocket(dialled.socket);
 */
export function discardSocket(socket: EndpointSocket): void {
  socket.on("error", () => undefined);
  socket.destroy();
}
