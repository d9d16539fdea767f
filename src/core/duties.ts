/**
 * Folds the stream of duties: which instance holds a data centre's part of the rates, and which
 * controls its endpoints.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { createClosed, decodeValue } from "./codec";

/** The kinds of duty. */
export const Duty = { holder: "holder", controller: "controller" } as const;
export type Duty = (typeof Duty)[keyof typeof Duty];

/** A record that names the instance of a duty, based on the record that named the last one. */
export const dutyRecordCodec = createClosed(
  "duty record",
  {
    id: t.string,
    duty: t.keyof({ holder: null, controller: null }),
    dataCentre: t.string,
    incarnation: t.string,
    /** Offset of the record that it replaces; -1 where it is the first. */
    basedOn: t.number,
  },
  {
    /** How long a controller's lease runs from the record, in milliseconds. */
    leaseMs: t.number,
    /** The incarnation that gave the duty up by itself. */
    handedOverBy: t.string,
  },
);
export type DutyRecord = t.TypeOf<typeof dutyRecordCodec>;

/** Who has a duty now. */
export interface DutyAssignment {
  readonly duty: Duty;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Offset of the record that made it so: the fencing number of a controller. */
  readonly offset: number;
  /** Offset from which this incarnation has had the duty without a break. */
  readonly since: number;
  /** How many incarnations have had the duty, this one included. */
  readonly epoch: number;
  readonly leaseMs: number;
  readonly recordId: string;
}

/** All assignments, by duty and data centre. */
export type DutyAssignments = ReadonlyMap<string, DutyAssignment>;

/** The offset that stands for no record. */
export const NO_OFFSET = -1;

/**
 * Reads who has a duty in a data centre.
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
 * Folds one record; of two records based on the same one, the first in the log counts.
 *
 * @returns the new assignments, or the same ones where the record does not count
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
