/**
 * Group membership by heartbeats: every instance sends them to all others of its data centre, and
 * one relay of each data centre to one instance of every other. A heartbeat carries how far its
 * sender has read the control stream; an instance that is behind pulls the missing records.
 */
import * as E from "fp-ts/Either";
import type { Blackboard, MemberView } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import type { Logger } from "../core/log";
import { listDataCentresSharingPools } from "../core/pools";
import { chooseByRendezvousHash } from "../core/rendezvous";
import { PeriodicTask, runTask } from "../core/tasks";
import type { HeartbeatMessage, Member } from "../peer/gen/peer";
import type { PeerTransport } from "../peer/transport";
import type { ListEntry } from "../store/list";
import type { ControlReader } from "./controlreader";

const HEARTBEAT_INTERVAL_MS = 300;
/** A member without a heartbeat for this long is unreachable; also the timeout of a heartbeat. */
const MEMBER_TIMEOUT_MS = 1200;
/** The same for a member reported by a relay, which stops reporting a member that is gone. */
const RELAYED_MEMBER_TIMEOUT_MS = 900;
const PULL_TIMEOUT_MS = 2000;

/** The identity of this process. */
export interface InstanceIdentity {
  readonly instance: string;
  readonly incarnation: string;
  readonly dataCentre: string;
}

/** The part of the control reader that heartbeats use. */
export type ControlProgress = Pick<ControlReader, "next" | "recordCaughtUp" | "applyPullReply">;

interface MemberProgress {
  /** The offset in the control stream that the member reads next. */
  readonly next: number;
  /** Until when the member counts as reachable. */
  readonly deadline: Moment;
}

/** Sends and answers heartbeats. */
export class Membership {
  private readonly task: PeriodicTask;
  private isPulling = false;
  /** How far each member has read the control stream, from its own heartbeats only. */
  private readonly progress = new Map<string, MemberProgress>();
  private isFirstRoundStarted = false;
  private isFirstRoundDone = false;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly transport: Pick<PeerTransport, "heartbeat" | "pull">,
    private readonly control: ControlProgress,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.task = new PeriodicTask("send heartbeats", HEARTBEAT_INTERVAL_MS, logger, () => {
      this.sendHeartbeats();
    });
  }

  start(): void {
    this.task.start();
    this.task.run();
  }

  close(): void {
    this.task.close();
  }

  /**
   * True once the first round of heartbeats is over, so that every member that can be reached has
   * answered, and this instance has read as far as the most advanced of them, since a less advanced
   * member may itself be behind.
   */
  get isCaughtUp(): boolean {
    const now = this.clock.now();
    const live = [...this.progress.values()].filter((member) => member.deadline > now);
    return this.isFirstRoundDone && live.every((member) => member.next <= this.control.next);
  }

  /** Applies a heartbeat and answers with one of this instance. */
  onHeartbeat(message: HeartbeatMessage): HeartbeatMessage {
    this.applyMessage(message);
    return this.createMessage(message.from?.dataCentre ?? this.self.dataCentre);
  }

  private sendHeartbeats(): void {
    const exchanges = this.listTargets().map((entry) =>
      runTask("send a heartbeat", this.logger, () => this.sendHeartbeat(entry)),
    );
    if (exchanges.length === 0 || this.isFirstRoundStarted) return;
    this.isFirstRoundStarted = true;
    void Promise.all(exchanges).then(() => {
      this.isFirstRoundDone = true;
    });
  }

  private async sendHeartbeat(entry: ListEntry): Promise<void> {
    const sentAt = this.clock.now();
    const result = await this.transport.heartbeat(
      entry.address,
      this.createMessage(entry.dataCentre),
      MEMBER_TIMEOUT_MS,
    )();
    if (E.isLeft(result)) return;
    this.applyMessage(result.right);
    this.confirmControl(result.right, sentAt);
    if (result.right.controlNext <= this.control.next) return;
    void runTask("pull records", this.logger, () => this.pullFrom(entry.address));
  }

  private listTargets(): readonly ListEntry[] {
    const others = this.board.platformList
      .read()
      .filter((entry) => entry.kind === "instance" && entry.name !== this.self.instance);
    const local = others.filter((entry) => entry.dataCentre === this.self.dataCentre);
    if (!this.isRelay()) return local;
    const remote = groupByDataCentre(
      others.filter((entry) => entry.dataCentre !== this.self.dataCentre),
    );
    return [
      ...local,
      ...[...remote.values()].flatMap((entries) => this.chooseRemoteTargets(entries)),
    ];
  }

  /**
   * Chooses one reachable instance of another data centre; all its instances where none is known to
   * be reachable.
   */
  private chooseRemoteTargets(entries: readonly ListEntry[]): readonly ListEntry[] {
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
    const local = [...this.board.members.values()]
      .filter((member) => member.dataCentre === this.self.dataCentre && member.deadline > now)
      .map((member) => member.instance);
    return chooseByRendezvousHash("relay", [...local, this.self.instance]) === this.self.instance;
  }

  /**
   * Lists the members that the receiver gets no heartbeats from: for another data centre the
   * members of this one, and from the relay to its own data centre the members of all others that
   * share a pool with it.
   */
  private listMembers(receiverDataCentre: string, now: Moment): Member[] {
    const isRemote = receiverDataCentre !== this.self.dataCentre;
    if (!isRemote && !this.isRelay()) return [];
    const { configuration } = this.board.config.read();
    const sharingDataCentres = isRemote
      ? undefined
      : listDataCentresSharingPools(configuration, this.self.dataCentre);
    return [...this.board.members.values()]
      .filter((member) => member.deadline > now && !member.isDraining)
      .filter((member) => (member.dataCentre === this.self.dataCentre) === isRemote)
      .filter((member) => sharingDataCentres?.has(member.dataCentre) !== false)
      .map(({ instance, incarnation, dataCentre }) => ({ instance, incarnation, dataCentre }));
  }

  private createMessage(receiverDataCentre: string): HeartbeatMessage {
    const now = this.clock.now();
    const caughtUpAt = this.board.controlCaughtUpAt.read();
    return {
      from: { ...this.self },
      members: this.listMembers(receiverDataCentre, now),
      controlNext: this.control.next,
      controlAgeMs: Number.isFinite(caughtUpAt) ? Math.ceil(now - caughtUpAt) : -1,
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

  private applyMessage(message: HeartbeatMessage): void {
    const { from } = message;
    if (from === undefined || from.instance === this.self.instance) return;
    const now = this.clock.now();
    const deadline = now + MEMBER_TIMEOUT_MS;
    this.progress.set(from.instance, { next: message.controlNext, deadline });
    this.recordMember({ ...from, deadline, isDraining: message.draining });
    for (const member of message.members) {
      if (member.dataCentre === this.self.dataCentre) continue;
      this.recordMember({
        ...member,
        deadline: now + RELAYED_MEMBER_TIMEOUT_MS,
        isDraining: false,
      });
    }
    for (const leaving of message.leavingEndpoints) {
      const deadline = Math.max(
        now + leaving.remainingMs,
        this.board.leaving.get(leaving.name) ?? 0,
      );
      this.board.leaving.set(leaving.name, deadline);
    }
    for (const ban of message.bans) this.board.poison.ban(ban.name, now + ban.remainingMs);
  }

  /**
   * Records that a member which has read no further knows the log. Only replies tell since when, as
   * nobody knows how long another heartbeat was on its way.
   */
  private confirmControl(reply: HeartbeatMessage, askedAt: Moment): void {
    const { from, controlAgeMs, controlNext } = reply;
    if (from === undefined || from.instance === this.self.instance) return;
    if (controlAgeMs < 0 || controlNext > this.control.next) return;
    this.control.recordCaughtUp(askedAt - controlAgeMs);
  }

  /**
   * Records a member. A member's own heartbeat takes precedence over a relay's report, which sets a
   * shorter deadline.
   */
  private recordMember(view: MemberView): void {
    const known = this.board.members.get(view.instance);
    const isStale =
      known !== undefined &&
      known.incarnation === view.incarnation &&
      known.deadline > view.deadline;
    if (!isStale) this.board.members.set(view.instance, view);
  }

  private async pullFrom(address: string): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    try {
      const from = this.control.next;
      const reply = await this.transport.pull(address, { from }, PULL_TIMEOUT_MS)();
      if (E.isRight(reply)) this.control.applyPullReply(reply.right, from);
    } finally {
      this.isPulling = false;
    }
  }
}

/**
 * Lists the instances that are reachable now and not draining, this one included.
 *
 * @param dataCentres - data centres to list; all where left out
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
  const includesSelf = dataCentres === undefined || dataCentres.has(self.dataCentre);
  return includesSelf && !board.draining.read() ? [...names, self.instance] : names;
}

/**
 * Lists the reachable instances of this instance's data centre, this one included.
 *
 * @example
 * listLocalInstances(board, self, clock.now());
 */
export function listLocalInstances(
  board: Blackboard,
  self: InstanceIdentity,
  now: Moment,
): readonly string[] {
  return listReachableInstances(board, self, now, new Set([self.dataCentre]));
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
