/**
 * Hears of other instances: heartbeats to all in the own data centre, and from one relay of each
 * data centre to one of every other. Heartbeats carry how far the control stream was read; who is
 * behind pulls.
 */
import * as E from "fp-ts/Either";
import type { Blackboard, MemberView } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import { listDataCentresSharingPools } from "../core/pools";
import { chooseByRendezvousHash } from "../core/rendezvous";
import type { HeartbeatMessage, Member } from "../peer/gen/peer";
import type { PeerTransport } from "../peer/transport";
import type { ListEntry } from "../store/list";
import type { ControlReader } from "./controlreader";

const HEARTBEAT_MS = 300;
/** A member that was not heard of for this long counts as not reachable. */
const MEMBER_MS = 1200;
/** The same for one that was heard of through a relay, which leaves it out when it is gone. */
const RELAYED_MEMBER_MS = 900;
const PULL_MS = 2000;

/** Who this process is. */
export interface InstanceIdentity {
  readonly instance: string;
  readonly incarnation: string;
  readonly dataCentre: string;
}

/** What heartbeats have to know of the control stream. */
export type ControlProgress = Pick<ControlReader, "next" | "recordCaughtUp" | "applyPullReply">;

interface Progress {
  /** The offset that the member reads next. */
  readonly next: number;
  /** Until when the member counts as reachable. */
  readonly deadline: Moment;
}

/** Sends and answers heartbeats. */
export class Membership {
  private timer: NodeJS.Timeout | undefined;
  private isPulling = false;
  /** How far each member has read the control stream, as it said itself. */
  private readonly progress = new Map<string, Progress>();
  private isRoundBegun = false;
  private isRoundOver = false;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly transport: Pick<PeerTransport, "heartbeat" | "pull">,
    private readonly control: ControlProgress,
    private readonly clock: Clock,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.beat();
    }, HEARTBEAT_MS);
    this.beat();
  }

  close(): void {
    clearInterval(this.timer);
  }

  /**
   * True once every member that can be reached was heard, and all that the newest of them knows was
   * taken: a member may itself be behind.
   */
  get isCaughtUp(): boolean {
    const now = this.clock.now();
    const live = [...this.progress.values()].filter((member) => member.deadline > now);
    return this.isRoundOver && live.every((member) => member.next <= this.control.next);
  }

  /** Answers a heartbeat with one of our own. */
  onHeartbeat(message: HeartbeatMessage): HeartbeatMessage {
    this.takeMessage(message, this.clock.now());
    return this.createMessage(message.from?.dataCentre ?? this.self.dataCentre);
  }

  private beat(): void {
    const answers = this.listTargets().map((entry) => this.sendTo(entry));
    if (answers.length === 0 || this.isRoundBegun) return;
    this.isRoundBegun = true;
    void Promise.all(answers).then(() => {
      this.isRoundOver = true;
    });
  }

  private async sendTo(entry: ListEntry): Promise<void> {
    const sentAt = this.clock.now();
    const result = await this.transport.heartbeat(
      entry.address,
      this.createMessage(entry.dataCentre),
      MEMBER_MS,
    )();
    if (E.isLeft(result)) return;
    this.takeMessage(result.right, sentAt);
    if (result.right.controlNext > this.control.next) void this.pullFrom(entry.address);
  }

  private listTargets(): readonly ListEntry[] {
    const others = this.board.platformList
      .read()
      .filter((entry) => entry.kind === "instance" && entry.name !== this.self.instance);
    const near = others.filter((entry) => entry.dataCentre === this.self.dataCentre);
    if (!this.isRelay()) return near;
    const far = groupByDataCentre(
      others.filter((entry) => entry.dataCentre !== this.self.dataCentre),
    );
    return [...near, ...[...far.values()].flatMap((entries) => this.chooseFar(entries))];
  }

  /** One reachable member of a data centre; each of them in turn where none is known to be. */
  private chooseFar(entries: readonly ListEntry[]): readonly ListEntry[] {
    const now = this.clock.now();
    const reachable = entries.filter(
      (entry) => (this.board.members.get(entry.name)?.deadline ?? 0) > now,
    );
    if (reachable.length === 0) return entries;
    const chosen = chooseByRendezvousHash(
      "relay",
      reachable.map((entry) => entry.name),
    );
    return reachable.filter((entry) => entry.name === chosen);
  }

  private isRelay(): boolean {
    const now = this.clock.now();
    const near = [...this.board.members.values()]
      .filter((member) => member.dataCentre === this.self.dataCentre && member.deadline > now)
      .map((member) => member.instance);
    return chooseByRendezvousHash("relay", [...near, this.self.instance]) === this.self.instance;
  }

  /**
   * Lists the members that the receiver cannot hear itself: to another data centre those of this
   * one, and from the relay to its own data centre those of all that share a pool with it.
   */
  private listMembers(receiver: string, now: Moment): Member[] {
    const isFar = receiver !== this.self.dataCentre;
    if (!isFar && !this.isRelay()) return [];
    const { configuration } = this.board.config.read();
    const sharing = isFar
      ? undefined
      : listDataCentresSharingPools(configuration, this.self.dataCentre);
    return [...this.board.members.values()]
      .filter((member) => member.deadline > now && !member.isDraining)
      .filter((member) => (member.dataCentre === this.self.dataCentre) === isFar)
      .filter((member) => sharing?.has(member.dataCentre) !== false)
      .map(({ instance, incarnation, dataCentre }) => ({ instance, incarnation, dataCentre }));
  }

  private createMessage(receiver: string): HeartbeatMessage {
    const now = this.clock.now();
    const seenAt = this.board.controlCaughtUpAt.read();
    return {
      from: { ...this.self },
      members: this.listMembers(receiver, now),
      controlNext: this.control.next,
      controlAgeMs: Number.isFinite(seenAt) ? Math.ceil(now - seenAt) : -1,
      leavingEndpoints: [...this.board.leaving]
        .filter(([, deadline]) => deadline > now)
        .map(([name, deadline]) => ({ name, remainingMs: computeRemainingMs(deadline, now) })),
      bans: this.board.poison.listBans(now).map((ban) => ({
        name: ban.fingerprint,
        remainingMs: computeRemainingMs(ban.deadline, now),
      })),
      draining: this.board.draining.read(),
    };
  }

  private takeMessage(message: HeartbeatMessage, at: Moment): void {
    const { from } = message;
    if (from === undefined || from.instance === this.self.instance) return;
    const now = this.clock.now();
    const deadline = now + MEMBER_MS;
    this.progress.set(from.instance, { next: message.controlNext, deadline });
    this.noteMember({ ...from, deadline, isDraining: message.draining });
    for (const member of message.members) {
      if (member.dataCentre === this.self.dataCentre) continue;
      this.noteMember({ ...member, deadline: now + RELAYED_MEMBER_MS, isDraining: false });
    }
    for (const leaving of message.leavingEndpoints) {
      const deadline = Math.max(
        now + leaving.remainingMs,
        this.board.leaving.get(leaving.name) ?? 0,
      );
      this.board.leaving.set(leaving.name, deadline);
    }
    for (const ban of message.bans) this.board.poison.ban(ban.name, now + ban.remainingMs);
    if (message.controlAgeMs >= 0 && message.controlNext <= this.control.next) {
      this.control.recordCaughtUp(at - message.controlAgeMs);
    }
  }

  /** What a member says of itself goes before what a relay says of it. */
  private noteMember(view: MemberView): void {
    const known = this.board.members.get(view.instance);
    const isOlder =
      known !== undefined &&
      known.incarnation === view.incarnation &&
      known.deadline > view.deadline;
    if (!isOlder) this.board.members.set(view.instance, view);
  }

  private async pullFrom(address: string): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    const from = this.control.next;
    const reply = await this.transport.pull(address, { from }, PULL_MS)();
    this.isPulling = false;
    if (E.isRight(reply)) this.control.applyPullReply(reply.right, from);
  }
}

/**
 * Lists the instances that can be reached now, this one included.
 *
 * @param dataCentres - only members of these; all where it is left out
 * @example
 * listReachableInstances(board, self, clock.now());
 */
export function listReachableInstances(
  board: Blackboard,
  self: InstanceIdentity,
  now: Moment,
  dataCentres?: ReadonlySet<string>,
): readonly string[] {
  const others = [...board.members.values()].filter(
    (member) =>
      member.deadline > now &&
      !member.isDraining &&
      (dataCentres === undefined || dataCentres.has(member.dataCentre)),
  );
  const names = others.map((member) => member.instance);
  const isIn = dataCentres === undefined || dataCentres.has(self.dataCentre);
  return isIn && !board.draining.read() ? [...names, self.instance] : names;
}

/**
 * Finds the address of an instance in the platform's list.
 *
 * @example
 * findInstanceAddress(board, "nizwa-1"); // "127.0.0.1:7001"
 */
export function findInstanceAddress(board: Blackboard, instance: string): string | undefined {
  return board.platformList
    .read()
    .find((entry) => entry.kind === "instance" && entry.name === instance)?.address;
}

function groupByDataCentre(entries: readonly ListEntry[]): ReadonlyMap<string, ListEntry[]> {
  const groups = new Map<string, ListEntry[]>();
  for (const entry of entries) {
    groups.set(entry.dataCentre, [...(groups.get(entry.dataCentre) ?? []), entry]);
  }
  return groups;
}
