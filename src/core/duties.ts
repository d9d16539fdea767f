/**
 * Folds the duty records of the control stream: which instance runs the rate limiter for a data
 * centre's share of the rates, and which controls its endpoints.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { createClosed, decodeValue } from "./codec";

/**
 * The duties of a data centre: `holder` runs its rate limiter, `controller` sends orders to its
 * endpoints.
 */
export const Duty = { holder: "holder", controller: "controller" } as const;
export type Duty = (typeof Duty)[keyof typeof Duty];

/**
 * Assigns a duty to an incarnation. It takes effect only if based on the record of the current
 * assignment.
 */
export const dutyRecordCodec = createClosed(
  "duty record",
  {
    id: t.string,
    duty: t.keyof({ holder: null, controller: null }),
    dataCentre: t.string,
    incarnation: t.string,
    /** Offset of the assignment record that it replaces; -1 where it is the first. */
    basedOn: t.number,
  },
  {
    /** Duration of a controller's lease, counted from the record, in milliseconds. */
    leaseMs: t.number,
    /** The incarnation that handed the duty over of its own accord. */
    handedOverBy: t.string,
  },
);
export type DutyRecord = t.TypeOf<typeof dutyRecordCodec>;

/** The current assignment of a duty. */
export interface DutyAssignment {
  readonly duty: Duty;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Offset of the assignment record: the fencing token of a controller. */
  readonly offset: number;
  /** Offset since which this incarnation has had the duty without interruption. */
  readonly since: number;
  /** Number of successive holders of the duty, the current one included. */
  readonly epoch: number;
  readonly leaseMs: number;
  readonly recordId: string;
}

/** All assignments, keyed by duty and data centre. */
export type DutyAssignments = ReadonlyMap<string, DutyAssignment>;

/** Offset that stands for no record. */
export const NO_OFFSET = -1;

/**
 * Finds the current assignment of a duty in a data centre.
 *
 * @example
 * findAssignment(duties, Duty.holder, "nizwa");
 */
export function findAssignment(
  duties: DutyAssignments,
  duty: Duty,
  dataCentre: string,
): DutyAssignment | undefined {
  return duties.get(createKey(duty, dataCentre));
}

/**
 * Folds one record. Of two records based on the same one, the first in the log takes effect.
 *
 * @returns the new assignments, or the same map where the record has no effect
 * @example
 * foldDuty(new Map(), 0, record);
 */
export function foldDuty(
  duties: DutyAssignments,
  offset: number,
  record: unknown,
): DutyAssignments {
  const decoded = decodeValue(dutyRecordCodec, record, `offset ${offset}`);
  if (E.isLeft(decoded)) return duties;
  const { duty, dataCentre, incarnation, basedOn, leaseMs, id } = decoded.right;
  const key = createKey(duty, dataCentre);
  const current = duties.get(key);
  if (basedOn !== (current?.offset ?? NO_OFFSET)) return duties;
  const isSame = current?.incarnation === incarnation;
  const assignment: DutyAssignment = {
    duty,
    dataCentre,
    incarnation,
    offset,
    since: isSame ? current.since : offset,
    epoch: isSame ? current.epoch : (current?.epoch ?? 0) + 1,
    leaseMs: leaseMs ?? 0,
    recordId: id,
  };
  return new Map(duties).set(key, assignment);
}

function createKey(duty: Duty, dataCentre: string): string {
  return `${duty}/${dataCentre}`;
}
