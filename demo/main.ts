/**
 * Demonstration: starts dist/gorsefold and the stand-ins, publishes a configuration with the real command line, sends
 * completion requests and job-sheet issues, kills an entry instance and a decode engine, changes a selector and
 * withdraws a key while traffic runs, and prints what the callers and the stand-ins recorded. Exits with 0 only if
 * every guarantee held.
 */
import { join } from "node:path";
import { hashKey } from "../src/core/ids";
import { Reason } from "../src/core/outcome";
import { callService, draft, type Seen } from "../test/harness/callers";
import { type Fleet, startFleet } from "../test/harness/fleet";
import { pause } from "../test/standin/http";
import { createPlan } from "./plan";
import { checkPromises, printTables } from "./report";

const TRAFFIC_MS = 14_000;
const DRAFT_INTERVAL_MS = 60;
const ISSUE_INTERVAL_MS = 120;
const HOLD_RELEASE_TIMEOUT_MS = 8000;
const BINARY = join(__dirname, "../dist/gorsefold");

/** One request and its response. */
export interface SentRequest {
  readonly kind: "draft" | "issue";
  readonly workspace: string;
  readonly name: string;
  readonly at: string;
  readonly seen: Seen;
}

const startedAt = performance.now();
void run();

async function run(): Promise<void> {
  console.log("starting 3 entry instances, 5 engines, 2 services and the platform ...");
  const fleet = await startFleet(createPlan(BINARY));
  const sent: SentRequest[] = [];
  const keys = await createKeys(fleet);
  const traffic = sendTraffic(fleet, keys, sent);
  await injectFaults(fleet, keys);
  await traffic;
  const areHoldsReleased = await fleet.waitFor(
    async () => (await fleet.readHolds()).length === 0,
    HOLD_RELEASE_TIMEOUT_MS,
  );
  const holds = areHoldsReleased ? [] : await fleet.readHolds();
  const history = fleet.readHistory();
  const status = await fleet.command(["status"]);
  await fleet.close();
  console.log(`\n${status.stdout}`);
  printTables(sent, history, holds);
  const violations = checkPromises(sent, history, holds, keys);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
  for (const line of violations) console.log(`BROKEN: ${line}`);
  console.log(
    violations.length === 0
      ? `all promises held; ${seconds} s`
      : `${violations.length} promises broken`,
  );
  process.exitCode = violations.length === 0 ? 0 : 1;
}

/** API keys by workspace, created by the command line, which prints each key only once. */
export type WorkspaceKeys = Readonly<Record<string, string>>;

async function createKeys(fleet: Fleet): Promise<WorkspaceKeys> {
  const keys: Record<string, string> = {};
  for (const workspace of ["nizwa-fort", "bahla-walls", "falaj-trust", "samail-crews"]) {
    const created = await fleet.command(["key", "create", workspace, "--json", "--wait", "5"]);
    keys[workspace] = (JSON.parse(created.stdout) as { key: string }).key;
    console.log(`key of ${workspace}: ${hashKey(keys[workspace] ?? "").slice(0, 12)}...`);
  }
  return keys;
}

async function sendTraffic(fleet: Fleet, keys: WorkspaceKeys, sent: SentRequest[]): Promise<void> {
  const calls: Promise<void>[] = [];
  const end = performance.now() + TRAFFIC_MS;
  const names = [...fleet.callerPorts.keys()];
  const workspaces = Object.keys(keys);
  const sendEvery = async (intervalMs: number, send: typeof sendDraft) => {
    for (let index = 0; performance.now() < end; index += 1) {
      const workspace = workspaces[index % workspaces.length] ?? "";
      calls.push(send(fleet, keys, sent, workspace, names, index));
      await pause(intervalMs);
    }
  };
  await Promise.all([
    sendEvery(DRAFT_INTERVAL_MS, sendDraft),
    sendEvery(ISSUE_INTERVAL_MS, sendIssue),
  ]);
  await Promise.all(calls);
}

/**
 * Sends a draft as through a load balancer: if the instance is gone, dies or is not ready, the caller retries at another
 * one.
 */
async function sendDraft(
  fleet: Fleet,
  keys: WorkspaceKeys,
  sent: SentRequest[],
  workspace: string,
  names: readonly string[],
  index: number,
): Promise<void> {
  const prompt =
    `Survey ${index} of ${workspace}: the north wall is cracked; sarooj is loose. `.repeat(12);
  for (let attempt = 0; attempt < 2; attempt += 1) {
    const at = names[(index + attempt) % names.length] ?? "";
    const key = keys[workspace] ?? "";
    const seen = await draft({ url: fleet.url(at), key, prompt, maxTokens: 60 });
    sent.push({ kind: "draft", workspace, name: `draft-${index}`, at, seen });
    if (seen.isWhole || (seen.reason !== "" && seen.reason !== Reason.notReady)) return;
  }
}

/** Sends an issue; without an answer, the caller retries with the same Idempotency-Key. */
async function sendIssue(
  fleet: Fleet,
  keys: WorkspaceKeys,
  sent: SentRequest[],
  workspace: string,
  names: readonly string[],
  index: number,
): Promise<void> {
  const name = `issue-${index}`;
  for (let attempt = 0; attempt < 3; attempt += 1) {
    const at = names[(index + attempt) % names.length] ?? "";
    const body = { issue: name, workspace, material: "sarooj", sacks: 3 };
    const headers = { "idempotency-key": name };
    const key = keys[workspace] ?? "";
    const seen = await callService({
      url: fleet.url(at),
      path: "/sheets/issues",
      key,
      body,
      headers,
    });
    sent.push({ kind: "issue", workspace, name, at, seen });
    if (seen.status !== 0 && seen.retryAfterMs === undefined) return;
    await pause(seen.retryAfterMs ?? 100);
  }
}

async function injectFaults(fleet: Fleet, keys: WorkspaceKeys): Promise<void> {
  await pause(2500);
  console.log("killing the decode engine decode-1 and the entry instance nizwa-2 ...");
  await Promise.all([fleet.kill("decode-1"), fleet.kill("nizwa-2")]);
  await pause(2000);
  console.log("changing the selector: drafting leaves the engines labelled tier=old ...");
  await fleet.command(["selector", "set", "drafting", "tier=new", "--wait", "5"]);
  await pause(1000);
  console.log("withdrawing the key of samail-crews ...");
  await fleet.command(["key", "withdraw", keys["samail-crews"] ?? "", "--wait", "5"]);
  await Promise.all([fleet.restart("decode-1"), fleet.restart("nizwa-2")]);
  console.log("started decode-1 and nizwa-2 again ...");
}
