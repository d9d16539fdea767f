/**
 * Compares the reserving policy with the baseline: goodput under both latency targets, wasted prefills, the
 * worst-served workspace, and refusals within the rate. It runs both reference deployments at three loads, without
 * faults and with an engine lost, while one workspace sends five times its rate.
 *
 * Usage: npm run measure [-- seconds a run [deployment [load]]]
 */
import { loadavg } from "node:os";
import { mkdirSync, writeFileSync } from "node:fs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { draft, type Seen } from "../test/harness/callers";
import { type Fleet, startFleet } from "../test/harness/fleet";
import { pause } from "../test/standin/http";
import { createDeployment, type Deployment, DEPLOYMENTS } from "./deployment";

const LOADS = [0.7, 1.0, 1.5] as const;
const FLOOD_FACTOR = 5;
const OUTPUT_TOKENS = 60;
const FIRST_TOKEN_TARGET_MS = 1100;
const TOKEN_INTERVAL_TARGET_MS = 60;
const SEED = 20_261_203;
const DEFAULT_RUN_SECONDS = 10;
const WARM_UP_MS = 3000;
const LOST_ENGINE = "runner-3";

interface SentRequest {
  readonly workspace: string;
  readonly seen: Seen;
}

/** A row of the table. */
interface Row {
  readonly deployment: string;
  readonly load: number;
  readonly fault: string;
  readonly policy: string;
  /** Requests per second that met both latency targets, over all workspaces. */
  readonly goodput: number;
  /** Share of all prefills whose result was never fetched, in percent. */
  readonly wastedPercent: number;
  /**
   * Share of requests that met both targets, in percent, for the worst-served of the workspaces that stay within
   * their rate.
   */
  readonly worstPercent: number;
  /** Share of requests without status 200, in percent, of the workspaces that stay within their rate. */
  readonly refusedPercent: number;
  /** Requests per second of the workspaces within their rate. */
  readonly offered: number;
}

void run();

async function run(): Promise<void> {
  const seconds = Number(process.argv[2] ?? DEFAULT_RUN_SECONDS);
  const rows: Row[] = [];
  const [, , , onlyDeployment, onlyLoad] = process.argv;
  for (const name of DEPLOYMENTS.filter((item) => item === (onlyDeployment ?? item))) {
    for (const load of LOADS.filter((item) => item === Number(onlyLoad ?? item))) {
      for (const fault of ["none", "engine lost"]) {
        for (const policy of ["reserving", "baseline"]) {
          const row = await measurePolicy(
            createDeployment(name, load, policy),
            load,
            fault,
            policy,
            seconds,
          );
          rows.push(row);
          console.log(JSON.stringify(row));
        }
      }
    }
  }
  console.table(rows);
  mkdirSync("measure/out", { recursive: true });
  const result = {
    command: `npm run measure -- ${seconds}`,
    seed: SEED,
    machineLoad: loadavg(),
    rows,
  };
  writeFileSync("measure/out/policy.json", JSON.stringify(result, null, 2));
}

async function measurePolicy(
  deployment: Deployment,
  load: number,
  fault: string,
  policy: string,
  seconds: number,
): Promise<Row> {
  const fleet = await startFleet(deployment.plan);
  const sent = await sendLoad(fleet, deployment, fault, seconds);
  const history = fleet.readHistory();
  await fleet.close();
  const [overRateWorkspace = "", ...otherWorkspaces] = deployment.workspaces;
  const withinRate = sent.filter((item) => item.workspace !== overRateWorkspace);
  const onTimeShares = otherWorkspaces.map((workspace) => {
    const ownRequests = withinRate.filter((item) => item.workspace === workspace);
    return (
      ownRequests.filter((item) => isWithinTargets(item.seen)).length /
      Math.max(1, ownRequests.length)
    );
  });
  const prefills = history.filter((event) => event.kind === "prefill").length;
  const wastedPrefills = history.filter((event) => event.kind === "wasted").length;
  const refused = withinRate.filter((item) => item.seen.status !== 200);
  return {
    deployment: deployment.name,
    load,
    fault,
    policy,
    goodput: round(sent.filter((item) => isWithinTargets(item.seen)).length / seconds),
    wastedPercent: round((100 * wastedPrefills) / Math.max(1, prefills)),
    worstPercent: round(100 * Math.min(...onTimeShares)),
    refusedPercent: round((100 * refused.length) / Math.max(1, withinRate.length)),
    offered: round(withinRate.length / seconds),
  };
}

/**
 * Sends Poisson arrivals for each workspace, generated from one seed; the first workspace sends five times its rate.
 * Requests of the warm-up are sent but not counted.
 */
async function sendLoad(
  fleet: Fleet,
  deployment: Deployment,
  fault: string,
  seconds: number,
): Promise<readonly SentRequest[]> {
  const generator = xoroshiro128plus(SEED);
  const random = () => uniformInt(generator, 1, 1_000_000) / 1_000_000;
  const sent: SentRequest[] = [];
  const calls: Promise<void>[] = [];
  const names = [...fleet.callerPorts.keys()];
  const start = performance.now() + WARM_UP_MS;
  const end = start + seconds * 1000;
  const arrivals = deployment.workspaces.flatMap((workspace, index) => {
    const perMs =
      (deployment.requestsPerSecond / deployment.workspaces.length / 1000) *
      (index === 0 ? FLOOD_FACTOR : 1);
    return generateArrivalTimes(random, start - WARM_UP_MS, end, perMs).map((at) => ({
      at,
      workspace,
    }));
  });
  arrivals.sort((a, b) => a.at - b.at);
  const engineLossTimer =
    fault === "none"
      ? undefined
      : setTimeout(() => void fleet.kill(LOST_ENGINE), WARM_UP_MS + seconds * 300);
  for (const [index, { at, workspace }] of arrivals.entries()) {
    await pause(Math.max(0, at - performance.now()));
    const url = fleet.url(names[Math.floor(random() * names.length)] ?? "");
    const prompt = createPrompt(random, workspace, index);
    calls.push(
      draft({ url, key: deployment.keys[workspace] ?? "", prompt, maxTokens: OUTPUT_TOKENS }).then(
        (seen) => {
          if (at >= start) sent.push({ workspace, seen });
        },
      ),
    );
  }
  await Promise.all(calls);
  clearTimeout(engineLossTimer);
  return sent;
}

function generateArrivalTimes(
  random: () => number,
  from: number,
  to: number,
  perMs: number,
): readonly number[] {
  const arrivals: number[] = [];
  for (let at = from - Math.log(random()) / perMs; at < to; at -= Math.log(random()) / perMs)
    arrivals.push(at);
  return arrivals;
}

/** Creates a prompt; a third of the prompts share a long prefix with others of their workspace. */
function createPrompt(random: () => number, workspace: string, index: number): string {
  const tokens = 600 + Math.floor(random() * 1200);
  const isShared = random() < 0.33;
  const prefix = isShared ? `the bylaw of ${workspace} ` : `survey ${index} of ${workspace} `;
  return `${prefix.repeat(Math.ceil((tokens * 4) / prefix.length))}${index}`;
}

function isWithinTargets(seen: Seen): boolean {
  if (!seen.isWhole || seen.firstAt === undefined) return false;
  const meanIntervalMs = (seen.endedAt - seen.firstAt) / (OUTPUT_TOKENS - 1);
  return (
    seen.firstAt - seen.startedAt <= FIRST_TOKEN_TARGET_MS &&
    meanIntervalMs <= TOKEN_INTERVAL_TARGET_MS
  );
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
