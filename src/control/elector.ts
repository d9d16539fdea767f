/**
 * Takes up the duties of the data centre that nobody has: the holder's and the controller's.
 *
 * A holder is replaced only when it has handed over, or when it is gone. A controller is replaced
 * when its lease has run out, counted from when the record was seen here.
 */
import type { Blackboard } from "../board/board";
import type { Clock } from "../core/clock";
import {
  type DutyAssignment,
  Duty,
  type DutyRecord,
  findAssignment,
  NO_OFFSET,
} from "../core/duties";
import type { IdGenerator } from "../core/ids";
import { parseInstance } from "../core/ids";
import type { Logger } from "../core/log";
import { chooseByRendezvousHash } from "../core/rendezvous";
import type { LogClient } from "../store/log";
import { StreamName } from "../store/log";
import { Appender } from "./appender";
import { isIncarnationGone } from "./listpoller";
import { listReachableInstances, type InstanceIdentity } from "./membership";

const CHECK_MS = 400;
/** How long a controller's lease runs. */
export const LEASE_MS = 6000;
/** How long before its end a lease is renewed. */
const RENEW_MS = 4000;
/** How much longer than the lease others wait, and how much shorter its holder acts. */
export const LEASE_MARGIN_MS = 1000;
/** How long an append may be under way before it is tried again. */
const ATTEMPT_MS = 3000;

interface Attempt {
  readonly basedOn: number;
  readonly recordId: string;
  readonly startedAt: number;
}

/** Takes up and renews duties. */
export class DutyElector {
  private readonly attempts = new Map<Duty, Attempt>();
  /** When the append of our present lease was begun: the lease runs from no earlier moment. */
  private leaseFrom: { recordId: string; startedAt: number } | undefined;
  private readonly appender: Appender;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    log: LogClient,
    private readonly clock: Clock,
    private readonly ids: IdGenerator,
    private readonly logger: Logger,
  ) {
    this.appender = new Appender(log, StreamName.control);
  }

  start(): void {
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /**
   * Reads the fencing number under which this instance may give orders now.
   *
   * @returns the number, or undefined where the lease is not ours or too near its end
   */
  readFencingToken(): number | undefined {
    const present = this.find(Duty.controller);
    if (present?.incarnation !== this.self.incarnation) return undefined;
    this.noteLease(present);
    if (this.leaseFrom?.recordId !== present.recordId) return undefined;
    const end = this.leaseFrom.startedAt + present.leaseMs - LEASE_MARGIN_MS;
    return this.clock.now() < end ? present.offset : undefined;
  }

  /** Names a successor for the holder's duty. */
  async handOverHolderDuty(successor: string): Promise<void> {
    const present = this.find(Duty.holder);
    if (present?.incarnation !== this.self.incarnation) return;
    await this.appender.append(
      this.createRecord(Duty.holder, present, successor, this.self.incarnation),
    );
  }

  private check(): void {
    if (this.board.draining.read() || this.board.config.read().version < 0) return;
    if (this.isHolderMissing()) this.take(Duty.holder);
    if (this.isControllerDue()) this.take(Duty.controller);
  }

  private isHolderMissing(): boolean {
    const { dataCentres } = this.board.config.read().configuration;
    if (!Object.hasOwn(dataCentres, this.self.dataCentre)) return false;
    const present = this.find(Duty.holder);
    if (present?.incarnation === this.self.incarnation) return false;
    if (present !== undefined && !this.isReplaceable(present)) return false;
    return this.isChosen(Duty.holder);
  }

  private isReplaceable(present: DutyAssignment): boolean {
    const instance = parseInstance(present.incarnation);
    if (instance === this.self.instance) return true;
    return isIncarnationGone(this.board, instance, present.incarnation);
  }

  private isControllerDue(): boolean {
    const present = this.find(Duty.controller);
    if (present === undefined) return this.isChosen(Duty.controller);
    const age =
      this.clock.now() - (this.board.dutiesSeenAt.get(present.recordId) ?? this.clock.now());
    if (present.incarnation === this.self.incarnation) return age >= present.leaseMs - RENEW_MS;
    return age >= present.leaseMs + LEASE_MARGIN_MS && this.isChosen(Duty.controller);
  }

  /** Only one instance of the data centre tries, to spare the log; the log itself decides. */
  private isChosen(duty: Duty): boolean {
    const now = this.clock.now();
    const near = listReachableInstances(
      this.board,
      this.self,
      now,
      new Set([this.self.dataCentre]),
    );
    return chooseByRendezvousHash(duty, near) === this.self.instance;
  }

  private take(duty: Duty): void {
    const present = this.find(duty);
    const basedOn = present?.offset ?? NO_OFFSET;
    const startedAt = this.clock.now();
    const last = this.attempts.get(duty);
    if (last?.basedOn === basedOn && startedAt - last.startedAt < ATTEMPT_MS) return;
    const record = this.createRecord(duty, present, this.self.incarnation, undefined);
    this.attempts.set(duty, { basedOn, recordId: record.id, startedAt });
    this.logger.info("duty", { duty, dataCentre: this.self.dataCentre, basedOn });
    void this.appender.append(record);
  }

  private createRecord(
    duty: Duty,
    present: DutyAssignment | undefined,
    incarnation: string,
    handedOverBy: string | undefined,
  ): DutyRecord {
    return {
      id: this.ids.next(),
      duty,
      dataCentre: this.self.dataCentre,
      incarnation,
      basedOn: present?.offset ?? NO_OFFSET,
      ...(duty === Duty.controller ? { leaseMs: LEASE_MS } : {}),
      ...(handedOverBy === undefined ? {} : { handedOverBy }),
    };
  }

  private noteLease(present: DutyAssignment): void {
    const attempt = this.attempts.get(Duty.controller);
    if (attempt?.recordId === present.recordId) {
      this.leaseFrom = { recordId: attempt.recordId, startedAt: attempt.startedAt };
    }
  }

  private find(duty: Duty): DutyAssignment | undefined {
    return findAssignment(this.board.duties.read(), duty, this.self.dataCentre);
  }
}
