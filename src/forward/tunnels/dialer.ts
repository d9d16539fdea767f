/**
 * Opens connections to endpoints: directly, or over a peer while the direct way is lost. Lost ways
 * are tried again at a bounded rate, so that the end of a cut is noticed without a burst.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import type { ReplicaCandidate } from "../../fleet/replicas";
import { AnswerTimes } from "./answertimes";
import {
  type DialFailure,
  DialFailureKind,
  type DialledSocket,
  type DialObserver,
  type DialPlan,
  DialRun,
  DIRECT_TIMEOUT_MS,
  type DirectFailure,
  discardSocket,
  openDirectly,
  type PeerFailure,
  type PeerSuccess,
} from "./dialrun";
import type { DirectOpener } from "./directopener";
import type { EndpointTarget } from "../limits";
import type { LinkChecker } from "./linkcheck";
import type { PathTracker } from "./paths";
import { type EndpointSocket, TunnelFailureKind, type TunnelOpener } from "./openers";

/** How often it is checked whether a lost way is due for a direct try, in milliseconds. */
const TRY_CHECK_INTERVAL_MS = 25;
/** Shortest time between two checks of one direct way, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;
/** A connection that breaks this soon without a byte says that the way is cut, in milliseconds. */
const EARLY_BREAK_MS = 50;

/** Options of a dial. */
export interface DialOptions {
  /** True if no peer may be asked. */
  readonly isDirectOnly: boolean;
  /** True if it only carries a question about the endpoint itself, which peers that are leaving open it for too. */
  readonly isQuestion?: boolean | undefined;
  /** Checks whether a peer may be asked; all may if undefined. */
  readonly mayUsePeer?: ((peer: string) => boolean) | undefined;
}

/** Opens connections to endpoints. */
export interface EndpointDialer {
  dial(target: EndpointTarget, options: DialOptions): Promise<E.Either<DialFailure, DialledSocket>>;
  /**
   * Checks whether a connection that a peer opened may be used again: the direct way is still lost,
   * and the peer stays.
   */
  canReuse(target: EndpointTarget, peer: string): boolean;
  /** Checks the direct way to an endpoint that does not answer; at most once a second each. */
  checkDirect(target: EndpointTarget): void;
  close(): void;
}

/** Told when the direct way to an endpoint is lost and when it is back. */
export interface WayListener {
  /**
   * @param failure - how the last direct connect failed
   * @param asked - number of peers that were asked
   */
  onWayLost(target: EndpointTarget, failure: string, asked: number): void;
  onWayBack(target: EndpointTarget): void;
  /** Called when neither this instance nor its peers reach an endpoint whose way was lost. */
  onWayUnknown(target: EndpointTarget): void;
}

/** Dependencies of a dialer. */
export interface DialerParts {
  readonly paths: PathTracker;
  readonly direct: DirectOpener;
  readonly tunnels: TunnelOpener;
  readonly links: LinkChecker;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listener: WayListener;
  /** Lists the live peers that are not leaving, without this instance. */
  readonly listPeers: () => readonly ReplicaCandidate[];
  /** Lists the live peers that are leaving; none if undefined. */
  readonly listLeavingPeers?: () => readonly ReplicaCandidate[];
  readonly findDataCentre: (endpoint: string) => string | undefined;
  /** True for an endpoint whose way is not checked; none if undefined. */
  readonly isBarred?: (endpoint: string) => boolean;
  /** Called with each connection that a dial established. */
  readonly onConnection: (dialled: DialledSocket) => void;
}

/** How an endpoint answers a connect. */
export const ConnectState = {
  up: "up",
  /** Refused to several instances that reach other endpoints: nothing listens. */
  refused: "refused",
  /** Refused to this instance; a cut of its link may do so too. */
  unconfirmed: "unconfirmed",
  unreachable: "unreachable",
} as const;
export type ConnectState = (typeof ConnectState)[keyof typeof ConnectState];

/** Dials endpoints over the ways that the path tracker knows. */
export class Dialer implements EndpointDialer, DialObserver {
  /** By endpoint: when its direct way may be checked again. */
  private readonly nextCheckAt = new Map<string, Moment>();
  private readonly answerTimes = new AnswerTimes();
  private tryTimer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly parts: DialerParts) {}

  async dial(
    target: EndpointTarget,
    { isDirectOnly, isQuestion = false, mayUsePeer }: DialOptions,
  ): Promise<E.Either<DialFailure, DialledSocket>> {
    const plan = isDirectOnly
      ? DIRECT_PLAN
      : { ...this.createPlan(target, false, this.listAskable(isQuestion), mayUsePeer), isQuestion };
    const result = await this.run(target, plan);
    if (E.isRight(result)) this.parts.onConnection(result.right);
    return result;
  }

  /** Connects to an endpoint only to learn whether it is up. */
  async probe(target: EndpointTarget): Promise<ConnectState> {
    const result = await this.run(target, this.createPlan(target, true, this.listAskable(true)));
    if (E.isRight(result)) {
      discardSocket(result.right.socket);
      return ConnectState.up;
    }
    if (result.left.kind === DialFailureKind.refused) return ConnectState.refused;
    return result.left.isRefusedDirectly ? ConnectState.unconfirmed : ConnectState.unreachable;
  }

  canReuse(target: EndpointTarget, peer: string): boolean {
    const { paths, listPeers } = this.parts;
    return paths.isDirectLost(target) && listPeers().some(({ instance }) => instance === peer);
  }

  checkDirect(target: EndpointTarget): void {
    if (this.isBarred(target) || this.parts.paths.isDirectLost(target)) return;
    if (!this.takeCheck(target)) return;
    void runTask("check a direct way", this.parts.logger, async () => {
      if (!(await this.tryDirect(target))) await this.probePeers(target);
    });
  }

  /** Forgets endpoints that are no longer listed. */
  prune(isListed: (id: string) => boolean): void {
    const now = this.parts.clock.now();
    this.parts.paths.prune(isListed, now);
    for (const [id, at] of this.nextCheckAt) if (at <= now) this.nextCheckAt.delete(id);
  }

  /** Stops trying lost ways, and opens no connection over peers any more. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.tryTimer);
    this.parts.tunnels.close();
  }

  onDirectSuccess(target: EndpointTarget, socket: EndpointSocket): void {
    const { paths, clock, listener } = this.parts;
    if (paths.recordDirectSuccess(target, clock.now())) listener.onWayBack(target);
    this.trackEarlyBreak(target, socket);
  }

  onDirectFailure(target: EndpointTarget, failure: DirectFailure): void {
    const { paths, clock } = this.parts;
    const { message, startedAt, asked } = failure;
    const isLost = paths.recordDirectFailure(target, message, startedAt, clock.now());
    if (isLost) this.reportLost(target, asked);
  }

  onPeerSuccess(target: EndpointTarget, { peer, askedAt, asked }: PeerSuccess): void {
    const { paths, clock } = this.parts;
    const now = clock.now();
    this.answerTimes.record(now - askedAt);
    if (paths.recordPeerSuccess(target, peer, now)) this.reportLost(target, asked);
  }

  onPeerFailure(target: EndpointTarget, { peer, kind, askedAt }: PeerFailure): void {
    const { paths, clock } = this.parts;
    const now = clock.now();
    if (kind === TunnelFailureKind.silent) paths.recordPeerSilence(peer, askedAt, now);
    else paths.recordPeerFailure(target, peer, kind, now);
  }

  private async run(
    target: EndpointTarget,
    plan: DialPlan,
  ): Promise<E.Either<DialFailure, DialledSocket>> {
    const { direct, tunnels, links, clock, paths, listener } = this.parts;
    const run = new DialRun({ direct, tunnels, links, clock, observer: this }, target, plan);
    const result = await run.run();
    const isWhole = plan !== DIRECT_PLAN && plan.isRestricted !== true;
    const hasHeardAll = E.isLeft(result) && isWhole && run.hasHeardAll;
    if (hasHeardAll && paths.recordAllFailed(target)) listener.onWayUnknown(target);
    return result;
  }

  /** Lists the peers that may be asked: those that are leaving only with a question, and where no other is there. */
  private listAskable(isQuestion: boolean): readonly ReplicaCandidate[] {
    const { listPeers, listLeavingPeers } = this.parts;
    const staying = listPeers();
    return isQuestion && staying.length === 0 ? (listLeavingPeers?.() ?? []) : staying;
  }

  private createPlan(
    target: EndpointTarget,
    isProbe: boolean,
    all: readonly ReplicaCandidate[],
    mayUsePeer?: (peer: string) => boolean,
  ): DialPlan {
    const { paths, clock, listPeers, findDataCentre } = this.parts;
    const live = all.filter(({ instance }) => mayUsePeer?.(instance) !== false);
    const dataCentre = findDataCentre(target.id);
    const query = { target, dataCentre, live, isThorough: isProbe };
    const { peers, isRefused } = paths.rankPeers(query, clock.now());
    return {
      canDialDirectly: true,
      isDirectFirst: !paths.isDirectLost(target),
      peers,
      peerStaggerMs: this.answerTimes.computeStaggerMs(),
      hasPeers: listPeers().length > 0,
      isRefusedByPeer: isRefused,
      isProbe,
      isRestricted: live.length < all.length,
    };
  }

  /** Asks peers whether they reach an endpoint whose direct way failed. */
  private async probePeers(target: EndpointTarget): Promise<void> {
    const plan = {
      ...this.createPlan(target, false, this.listAskable(false)),
      canDialDirectly: false,
      isDirectFirst: false,
    };
    const result = await this.run(target, plan);
    if (E.isRight(result)) discardSocket(result.right.socket);
  }

  /** Connects directly and closes the connection; returns true if it succeeded. */
  private async tryDirect(target: EndpointTarget): Promise<boolean> {
    const startedAt = this.parts.clock.now();
    const options = { timeoutMs: DIRECT_TIMEOUT_MS, mustSettle: true };
    const opened = await openDirectly(this.parts.direct, target, options);
    if (E.isRight(opened)) {
      this.onDirectSuccess(target, opened.right);
      discardSocket(opened.right);
      return true;
    }
    this.onDirectFailure(target, { message: opened.left.message, startedAt, asked: 0 });
    return false;
  }

  private reportLost(target: EndpointTarget, asked: number): void {
    const { paths, listener } = this.parts;
    listener.onWayLost(target, paths.readFailure(target), asked);
    if (this.tryTimer !== undefined || this.isClosed) return;
    this.tryTimer = setInterval(() => {
      void runTask("try a lost way", this.parts.logger, () => this.tryLost());
    }, TRY_CHECK_INTERVAL_MS);
    this.tryTimer.unref();
  }

  private async tryLost(): Promise<void> {
    const { paths, clock } = this.parts;
    if (!paths.hasLost) {
      clearInterval(this.tryTimer);
      this.tryTimer = undefined;
      return;
    }
    const target = paths.takeDirectTry(clock.now());
    if (target !== undefined && !this.isBarred(target)) await this.tryDirect(target);
  }

  private isBarred({ id }: EndpointTarget): boolean {
    return this.parts.isBarred?.(id) === true;
  }

  /** A cut may show only after the connect: the connection is then reset without a byte. */
  private trackEarlyBreak(target: EndpointTarget, socket: EndpointSocket): void {
    const { clock } = this.parts;
    const startedAt = clock.now();
    socket.prependOnceListener("error", (error: NodeJS.ErrnoException) => {
      const isEarly = clock.now() - startedAt <= EARLY_BREAK_MS && socket.bytesRead === 0;
      if (!isEarly || error.errno === undefined || !this.takeCheck(target)) return;
      void runTask("check a broken way", this.parts.logger, () => {
        this.onDirectFailure(target, { message: error.message, startedAt: clock.now(), asked: 0 });
        return this.probePeers(target);
      });
    });
  }

  private takeCheck({ id }: EndpointTarget): boolean {
    const now = this.parts.clock.now();
    if ((this.nextCheckAt.get(id) ?? now) > now) return false;
    this.nextCheckAt.set(id, now + CHECK_INTERVAL_MS);
    return true;
  }
}

/** The plan of a dial that asks no peer. */
const DIRECT_PLAN: DialPlan = {
  canDialDirectly: true,
  isDirectFirst: true,
  peers: [],
  peerStaggerMs: 0,
  hasPeers: true,
  isRefusedByPeer: false,
  isProbe: false,
};
