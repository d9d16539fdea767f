/**
 * Acquires the duties of the data centre that are unassigned: holder and controller.
 *
 * A holder is replaced only once it has handed over its duty or is gone. A controller is replaced
 * once its lease has expired, counted from when its record was first seen here.
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
import { PeriodicTask } from "../core/tasks";
import type { LogClient } from "../store/log";
import { StreamName } from "../store/log";
import { Appender } from "./appender";
import { isIncarnationGone } from "./listpoller";
import { listLocalInstances, type InstanceIdentity } from "./membership";

const CHECK_INTERVAL_MS = 400;
/** How long a controller's lease lasts. */
export const CONTROLLER_LEASE_MS = 6000;
/** How long before its expiry a lease is renewed. */
const LEASE_RENEWAL_LEAD_MS = 4000;
/**
 * Safety margin of a lease: its owner stops acting this long before the expiry, and other instances
 * wait this much longer before they replace the owner.
 */
export const LEASE_MARGIN_MS = 1000;
/** How long to wait for the outcome of an append before it is repeated. */
const ATTEMPT_TIMEOUT_MS = 3000;

interface Attempt {
  readonly basedOn: number;
  readonly recordId: string;
  readonly startedAt: number;
}

/** Acquires duties, and renews the controller's lease. */
export class DutyElector {
  private readonly attempts = new Map<Duty, Attempt>();
  /**
   * When the append of the current lease of this instance began. The lease is counted from there,
   * which is no later than where other instances count it from.
   */
  private leaseStart: { recordId: string; startedAt: number } | undefined;
  private readonly appender: Appender;
  private readonly task: PeriodicTask;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    log: LogClient,
    private readonly clock: Clock,
    private readonly ids: IdGenerator,
    private readonly logger: Logger,
  ) {
    this.appender = new Appender(log, StreamName.control, logger);
    this.task = new PeriodicTask("check duties", CHECK_INTERVAL_MS, logger, () => {
      this.check();
    });
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  /**
   * Reads the fencing token with which this instance may send orders now.
   *
   * @returns the token; undefined where this instance does not have the lease, or the lease is
   *   within its safety margin of expiring
   */
  readFencingToken(): number | undefined {
    const current = this.findLocalAssignment(Duty.controller);
    if (current?.incarnation !== this.self.incarnation) return undefined;
    this.recordLeaseStart(current);
    if (this.leaseStart?.recordId !== current.recordId) return undefined;
    const end = this.leaseStart.startedAt + current.leaseMs - LEASE_MARGIN_MS;
    return this.clock.now() < end ? current.offset : undefined;
  }

  /** Hands the holder's duty over to a successor, if this instance has it. */
  async handOverHolderDuty(successor: string): Promise<void> {
    const current = this.findLocalAssignment(Duty.holder);
    if (current?.incarnation !== this.self.incarnation) return;
    await this.appender.append(
      this.createRecord(Duty.holder, current, successor, this.self.incarnation),
    );
  }

  private check(): void {
    if (this.board.draining.read() || this.board.config.read().version < 0) return;
    if (this.shouldAcquireHolder()) this.acquireDuty(Duty.holder);
    if (this.shouldAcquireController()) this.acquireDuty(Duty.controller);
  }

  private shouldAcquireHolder(): boolean {
    const { dataCentres } = this.board.config.read().configuration;
    if (!Object.hasOwn(dataCentres, this.self.dataCentre)) return false;
    const current = this.findLocalAssignment(Duty.holder);
    if (current?.incarnation === this.self.incarnation) return false;
    if (current !== undefined && !this.isReplaceable(current)) return false;
    return this.isChosen(Duty.holder);
  }

  private isReplaceable(current: DutyAssignment): boolean {
    const instance = parseInstance(current.incarnation);
    if (instance === this.self.instance) return true;
    return isIncarnationGone(this.board, instance, current.incarnation);
  }

  /** Returns true also where the lease of this instance is due for renewal. */
  private shouldAcquireController(): boolean {
    const current = this.findLocalAssignment(Duty.controller);
    if (current === undefined) return this.isChosen(Duty.controller);
    const age =
      this.clock.now() - (this.board.dutiesSeenAt.get(current.recordId) ?? this.clock.now());
    if (current.incarnation === this.self.incarnation)
      return age >= current.leaseMs - LEASE_RENEWAL_LEAD_MS;
    return age >= current.leaseMs + LEASE_MARGIN_MS && this.isChosen(Duty.controller);
  }

  /**
   * Checks whether this instance is the one of its data centre that tries to acquire a duty. Only
   * one tries, to spare the log; which record counts is decided by the log alone.
   */
  private isChosen(duty: Duty): boolean {
    const now = this.clock.now();
    const localInstances = listLocalInstances(this.board, this.self, now);
    return chooseByRendezvousHash(duty, localInstances) === this.self.instance;
  }

  private acquireDuty(duty: Duty): void {
    const current = this.findLocalAssignment(duty);
    const basedOn = current?.offset ?? NO_OFFSET;
    const startedAt = this.clock.now();
    const lastAttempt = this.attempts.get(duty);
    if (lastAttempt?.basedOn === basedOn && startedAt - lastAttempt.startedAt < ATTEMPT_TIMEOUT_MS)
      return;
    const record = this.createRecord(duty, current, this.self.incarnation, undefined);
    this.attempts.set(duty, { basedOn, recordId: record.id, startedAt });
    this.logger.info("duty", { duty, dataCentre: this.self.dataCentre, basedOn });
    void this.appender.append(record);
  }

  private createRecord(
    duty: Duty,
    current: DutyAssignment | undefined,
    incarnation: string,
    handedOverBy: string | undefined,
  ): DutyRecord {
    return {
      id: this.ids.next(),
      duty,
      dataCentre: this.self.dataCentre,
      incarnation,
      basedOn: current?.offset ?? NO_OFFSET,
      ...(duty === Duty.controller ? { leaseMs: CONTROLLER_LEASE_MS } : {}),
      ...(handedOverBy === undefined ? {} : { handedOverBy }),
    };
  }

  private recordLeaseStart(current: DutyAssignment): void {
    const attempt = this.attempts.get(Duty.controller);
    if (attempt?.recordId === current.recordId) {
      this.leaseStart = { recordId: attempt.recordId, startedAt: attempt.startedAt };
    }
  }

  private findLocalAssignment(duty: Duty): DutyAssignment | undefined {
    return findAssignment(this.board.duties.read(), duty, this.self.dataCentre);
  }
}
