/**
 * Authenticates callers: reads the key, finds its workspace, and checks that the key is valid now.
 */
import type { IncomingHttpHeaders } from "node:http";
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Moment } from "../core/clock";
import type { Route } from "../core/config/objects";
import { hashKey } from "../core/ids";
import { createNotRunRefusal, Reason, type Refusal } from "../core/outcome";

const BEARER_PREFIX = /^bearer\s+/i;
const UNVERIFIED_RETRY_AFTER_MS = 2000;

/** An authenticated key and its workspace. */
export interface Caller {
  /** Hash of the key; undefined on an open route, which needs no key. */
  readonly keyHash: string | undefined;
  readonly workspace: string;
}

/** Workspace of callers on open routes, who need no key. */
export const OPEN_WORKSPACE = "(open)";

/**
 * Reads the key that a caller presents.
 *
 * @example
 * readKey({ authorization: "Bearer gf_abc" }); // "gf_abc"
 */
export function readKey(headers: IncomingHttpHeaders): string | undefined {
  const apiKey = headers["x-api-key"];
  if (typeof apiKey === "string" && apiKey !== "") return apiKey;
  const { authorization } = headers;
  if (authorization === undefined || !BEARER_PREFIX.test(authorization)) return undefined;
  const key = authorization.replace(BEARER_PREFIX, "").trim();
  return key === "" ? undefined : key;
}

/**
 * Finds the workspace of a key and checks that the key is valid.
 *
 * @param key - the key as presented
 * @param route - the route that is called
 * @returns the caller, or the refusal where the key is missing or not valid
 * @example
 * identifyCaller(board, route, "gf_abc", clock.now());
 */
export function identifyCaller(
  board: Blackboard,
  route: Route,
  key: string | undefined,
  now: Moment,
): E.Either<Refusal, Caller> {
  if (route.open === true) return E.right({ keyHash: undefined, workspace: OPEN_WORKSPACE });
  if (key === undefined) {
    return E.left(createNotRunRefusal(401, Reason.keyMissing, "the route needs a key"));
  }
  const keyHash = hashKey(key);
  const keyRecord = board.config.read().configuration.keys[keyHash];
  if (keyRecord === undefined) {
    return E.left(createNotRunRefusal(401, Reason.keyUnknown, "the key is not known"));
  }
  const caller = { keyHash, workspace: keyRecord.workspace };
  const refusal = checkCaller(board, caller, now);
  return refusal === undefined ? E.right(caller) : E.left(refusal);
}

/**
 * Checks that a caller's key is still valid; done again before every dispatch.
 *
 * @returns the refusal, or undefined where the key is valid
 * @example
 * checkCaller(board, caller, clock.now());
 */
export function checkCaller(board: Blackboard, caller: Caller, now: Moment): Refusal | undefined {
  if (caller.keyHash === undefined) return undefined;
  const { keys, workspaces } = board.config.read().configuration;
  const key = keys[caller.keyHash];
  const workspace = workspaces[caller.workspace];
  if (key === undefined || workspace === undefined || key.workspace !== caller.workspace) {
    return createNotRunRefusal(401, Reason.keyUnknown, "the key is not known");
  }
  if (key.withdrawn === true) {
    return createNotRunRefusal(401, Reason.keyWithdrawn, "the key has been withdrawn");
  }
  const configAgeMs = now - board.controlCaughtUpAt.read();
  if (workspace.keyTrustMs !== undefined && configAgeMs > workspace.keyTrustMs) {
    const message = "this instance has not heard from the log for too long to trust the key";
    return createNotRunRefusal(503, Reason.keyUnverified, message, UNVERIFIED_RETRY_AFTER_MS);
  }
  return undefined;
}

/**
 * Checks whether a caller's running requests must be cancelled.
 *
 * @example
 * shouldCancelRunning(board, caller); // true where the key was withdrawn with "cut"
 */
export function shouldCancelRunning(board: Blackboard, caller: Caller): boolean {
  const key = board.config.read().configuration.keys[caller.keyHash ?? ""];
  return key?.withdrawn === true && key.cut === true;
}

/**
 * Checks whether any part that would be passed on contains the key, as it stands or
 * percent-encoded.
 *
 * @param parts - path, forwarded headers and body
 * @example
 * containsKey("gf_abc", ["/sheets?key=gf_abc"]); // true
 */
export function containsKey(key: string | undefined, parts: readonly string[]): boolean {
  if (key === undefined) return false;
  return parts.some((part) => part.includes(key) || decodePercent(part).includes(key));
}

function decodePercent(part: string): string {
  if (!part.includes("%")) return part;
  const result = E.tryCatch(
    () => decodeURIComponent(part),
    () => part,
  );
  return E.isRight(result) ? result.right : result.left;
}
