/**
 * Made histories of soaks, for the tests of the checks.
 */
import { createBody } from "./answers";
import type { Fault, FaultKind } from "./faults";
import { CallKind, type History, type Run, type Try } from "./history";

const INSTANCES = ["nizwa-1", "nizwa-2", "nizwa-3"];
/** When the last fault of a made history ended, in milliseconds. */
export const CALM_AT = 20_000;
/** Time between the requests to an instance, in milliseconds. */
const INTERVAL_MS = 100;
const END_MS = 30_000;

/** Creates a request that was answered whole. */
export function createTry(more: Partial<Try> & Pick<Try, "id">): Try {
  const kind = more.kind ?? CallKind.once;
  const sentAt = more.sentAt ?? 1000;
  return {
    kind,
    instance: "nizwa-1",
    sentAt,
    endedAt: sentAt + 20,
    patienceMs: 2500,
    status: 200,
    answeredId: more.id,
    body: createBody(kind, more.id),
    isComplete: true,
    failure: "",
    ...more,
  };
}

/** Creates a run of a request. */
export function createRun(id: string, more: Partial<Run> = {}): Run {
  return { id, endpoint: "s1", at: 1010, promptOf: undefined, ...more };
}

/** Creates a fault. */
export function createFault(
  kind: FaultKind,
  at: number,
  until: number,
  more: Partial<Fault> = {},
): Fault {
  return { kind, at, until, instances: [], endpoints: [], manner: "", ...more };
}

/** Creates a history. */
export function createHistory(more: Partial<History> = {}): History {
  return { tries: [], runs: [], faults: [], ends: [], calmAt: CALM_AT, ...more };
}

/** Creates a request that was refused. */
export function refuse(
  id: string,
  status: number,
  reason: string,
  outcome: string,
  more = {},
): Try {
  const body = JSON.stringify({ error: { type: reason, message: "", outcome } });
  return createTry({ id, status, body, ...more });
}

/** Creates a request that got no answer. */
export const lose = (id: string, more: Partial<Try> = {}) =>
  createTry({
    id,
    status: 0,
    body: "",
    answeredId: undefined,
    isComplete: false,
    failure: "ECONNRESET",
    ...more,
  });

/** Creates the tries of a whole soak at all instances; `isFailed` chooses those that fail. */
export function createSoak(
  isFailed: (instance: string, at: number, index: number) => boolean,
): Try[] {
  return INSTANCES.flatMap((instance) =>
    Array.from({ length: END_MS / INTERVAL_MS }, (_, index) => {
      const sentAt = index * INTERVAL_MS;
      const id = `${instance}-${index}`;
      const more = { instance, sentAt, endedAt: sentAt + 20 };
      return isFailed(instance, sentAt, index)
        ? refuse(id, 503, "no_endpoint", "not run", more)
        : createTry({ id, ...more });
    }),
  );
}

/** Lists the rules of breaches. */
export const listRules = (breaches: readonly { readonly rule: string }[]) =>
  breaches.map(({ rule }) => rule);
