/**
 * Folds the records of the configuration stream. All readers that fold the same records in offset
 * order arrive at the same configuration.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import type { Configuration, ObjectKind } from "./objects";
import { createEmptyConfiguration, KINDS, kindCodecs } from "./objects";
import { createClosed, decodeValue } from "../codec";
import { checkReferences } from "./references";

const changeCodec = createClosed(
  "change",
  { kind: t.keyof(kindCodecs), name: t.string },
  { value: t.unknown },
);

/** A change of one object: set to `value`, or removed where `value` is absent. */
export type Change = t.TypeOf<typeof changeCodec>;

/**
 * A record of the configuration stream. It takes effect only where `basedOn` is the current
 * version, so that of two concurrent publications one is rejected.
 */
export const configRecordCodec = createClosed(
  "configuration record",
  { id: t.string, basedOn: t.number, changes: t.array(changeCodec) },
  { author: t.string },
);
export type ConfigRecord = t.TypeOf<typeof configRecordCodec>;

/** The folded configuration; its version is the offset of the last accepted record. */
export interface ConfigState {
  readonly version: number;
  readonly configuration: Configuration;
  /** By workspace: offset of the record that first contained it. */
  readonly workspacesFirstSeen: Readonly<Record<string, number>>;
  /** By data centre: offset of the record that first contained it. */
  readonly dataCentresFirstSeen: Readonly<Record<string, number>>;
  /** Identifier of the last accepted record. */
  readonly lastId: string;
}

/** The version of a configuration without any record. */
export const NO_VERSION = -1;

/** Why a record was rejected. */
export const Rejection = {
  raced: "raced",
  invalid: "invalid",
  old: "old",
} as const;
export type Rejection = (typeof Rejection)[keyof typeof Rejection];

/** The rejection of a record, with the reason. */
export class RejectedRecord extends Error {
  override readonly name = "RejectedRecord";

  constructor(
    readonly rejection: Rejection,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Creates the state before the first record.
 *
 * @example
 * createConfigState().version; // -1
 */
export function createConfigState(): ConfigState {
  return {
    version: NO_VERSION,
    configuration: createEmptyConfiguration(),
    workspacesFirstSeen: {},
    dataCentresFirstSeen: {},
    lastId: "",
  };
}

/**
 * Folds one record of the stream into the state.
 *
 * @param state - the state after all records with a lower offset
 * @param offset - the offset of the record
 * @param record - the record as it stands in the log
 * @returns the new state, or why the record was rejected
 * @example
 * foldRecord(createConfigState(), 0, { id: "a", basedOn: -1, changes: [] });
 */
export function foldRecord(
  state: ConfigState,
  offset: number,
  record: unknown,
): E.Either<RejectedRecord, ConfigState> {
  if (offset <= state.version) return rejectRecord(Rejection.old, "already folded");
  const decoded = decodeValue(configRecordCodec, record, `offset ${offset}`);
  if (E.isLeft(decoded)) return rejectRecord(Rejection.invalid, decoded.left.message);
  if (decoded.right.basedOn !== state.version) {
    const message = `based on version ${decoded.right.basedOn}, not on ${state.version}`;
    return rejectRecord(Rejection.raced, message);
  }
  return foldChanges(state, offset, decoded.right);
}

/**
 * Applies changes to a copy of a configuration, and checks every reference in the result.
 *
 * @example
 * applyChanges(configuration, [{ kind: "selectors", name: "near", value: {} }], "publish");
 */
export function applyChanges(
  configuration: Configuration,
  changes: readonly Change[],
  source: string,
): E.Either<Error, Configuration> {
  const next = { ...configuration } as Record<ObjectKind, Record<string, unknown>>;
  for (const kind of new Set(changes.map((change) => change.kind))) next[kind] = { ...next[kind] };
  for (const change of changes) {
    if (change.value === undefined) {
      const remaining = Object.entries(next[change.kind]).filter(([name]) => name !== change.name);
      next[change.kind] = Object.fromEntries(remaining);
      continue;
    }
    const decoded = decodeValue(kindCodecs[change.kind] as t.Type<unknown>, change.value, source);
    if (E.isLeft(decoded)) return decoded;
    next[change.kind][change.name] = decoded.right;
  }
  return checkReferences(next as unknown as Configuration, source);
}

/**
 * Computes the changes that turn one configuration into another.
 *
 * @param from - the current configuration
 * @param to - the desired configuration; a kind that is absent from it, such as keys, stays unchanged
 * @example
 * computeChanges(createEmptyConfiguration(), document);
 */
export function computeChanges(from: Configuration, to: Partial<Configuration>): readonly Change[] {
  return KINDS.flatMap((kind) => {
    const after = to[kind];
    if (after === undefined) return [];
    return compareObjects(kind, from[kind], after);
  });
}

function rejectRecord(rejection: Rejection, message: string): E.Either<RejectedRecord, never> {
  return E.left(new RejectedRecord(rejection, message));
}

function foldChanges(
  state: ConfigState,
  offset: number,
  record: ConfigRecord,
): E.Either<RejectedRecord, ConfigState> {
  const applied = applyChanges(state.configuration, record.changes, `offset ${offset}`);
  if (E.isLeft(applied)) return rejectRecord(Rejection.invalid, applied.left.message);
  const configuration = applied.right;
  return E.right({
    version: offset,
    configuration,
    workspacesFirstSeen: addFirstSeen(state.workspacesFirstSeen, configuration.workspaces, offset),
    dataCentresFirstSeen: addFirstSeen(
      state.dataCentresFirstSeen,
      configuration.dataCentres,
      offset,
    ),
    lastId: record.id,
  });
}

function addFirstSeen(
  seen: Readonly<Record<string, number>>,
  objects: object,
  offset: number,
): Readonly<Record<string, number>> {
  const added = Object.keys(objects).filter((name) => !Object.hasOwn(seen, name));
  if (added.length === 0) return seen;
  return { ...seen, ...Object.fromEntries(added.map((name) => [name, offset])) };
}

function compareObjects(
  kind: ObjectKind,
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
): Change[] {
  const changed = Object.entries(after)
    .filter(([name, value]) => stringifyCanonical(before[name]) !== stringifyCanonical(value))
    .map(([name, value]) => ({ kind, name, value }));
  const removed = Object.keys(before)
    .filter((name) => !Object.hasOwn(after, name))
    .map((name) => ({ kind, name }));
  return [...changed, ...removed];
}

function stringifyCanonical(value: unknown): string {
  return (
    JSON.stringify(value, (_key, member: unknown) =>
      typeof member === "object" && member !== null && !Array.isArray(member)
        ? Object.fromEntries(Object.entries(member).sort(([a], [b]) => (a < b ? -1 : 1)))
        : member,
    ) ?? ""
  );
}
