/**
 * Who calls: the key, its workspace, and whether the key holds now.
 */
import type { IncomingHttpHeaders } from "node:http";
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Moment } from "../core/clock";
import type { Route } from "../core/config";
import { hashKey } from "../core/ids";
import { createNotRunRefusal, Reason, type Refusal } from "../core/outcome";

const BEARER = /^bearer\s+/i;
const UNVERIFIED_RETRY_MS = 2000;

/** A key and what it was found to open. */
export interface Caller {
  /** Hash of the key; absent on a route open to all. */
  readonly keyHash: string | undefined;
  readonly workspace: string;
}

/** The workspace of callers without a key. */
export const OPEN_WORKSPACE = "(open)";

/**
 * Reads the key that a caller presents.
 *
 * @example
 * readKey({ authorization: "Bearer gf_abc" }); // "gf_abc"
 */
export function readKey(headers: IncomingHttpHeaders): string | undefined {
  const single = headers["x-api-key"];
  if (typeof single === "string" && single !== "") return single;
  const { authorization } = headers;
  if (authorization === undefined || !BEARER.test(authorization)) return undefined;
  const key = authorization.replace(BEARER, "").trim();
  return key === "" ? undefined : key;
}

/**
 * Finds the workspace of a key.
 *
 * @param key - the key as presented
 * @param route - the route that is called
 * @returns the caller, or why the key does not hold
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
  const found = board.config.read().configuration.keys[keyHash];
  if (found === undefined) {
    return E.left(createNotRunRefusal(401, Reason.keyUnknown, "the key is not known"));
  }
  const caller = { keyHash, workspace: found.workspace };
  const refusal = checkCaller(board, caller, now);
  return refusal === undefined ? E.right(caller) : E.left(refusal);
}

/**
 * Checks that a caller's key still holds; done again before every dispatch.
 *
 * @returns why it does not, or undefined where it does
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
  const age = now - board.controlCaughtUpAt.read();
  if (workspace.keyTrustMs !== undefined && age > workspace.keyTrustMs) {
    const message = "this instance has not heard from the log for too long to trust the key";
    return createNotRunRefusal(503, Reason.keyUnverified, message, UNVERIFIED_RETRY_MS);
  }
  return undefined;
}

/**
 * Checks whether running work of a caller has to be cut off.
 *
 * @example
 * isCut(board, caller); // true where the key was withdrawn with "cut"
 */
export function isCut(board: Blackboard, caller: Caller): boolean {
  const key = board.config.read().configuration.keys[caller.keyHash ?? ""];
  return key?.withdrawn === true && key.cut === true;
}

/**
 * Checks whether a key stands anywhere in what would be passed on.
 *
 * @param parts - path, forwarded headers and body
 * @example
 * hasKey("gf_abc", ["/sheets?key=gf_abc"]); // true
 */
export function hasKey(key: string | undefined, parts: readonly string[]): boolean {
  if (key === undefined) return false;
  return parts.some((part) => part.includes(key) || decodePart(part).includes(key));
}

function decodePart(part: string): string {
  if (!part.includes("%")) return part;
  const result = E.tryCatch(
    () => decodeURIComponent(part),
    () => part,
  );
  return E.isRight(result) ? result.right : result.left;
}
