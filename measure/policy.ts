/**
 * Measures the policy against the baseline: goodput under both latency targets, wasted prefill, the
 * worst-served workspace, and refusals inside the rate; at three loads, with one tenant at five
 * times its rate, without faults and with an engine lost, for both deployments of the brief.
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
const FIRST_TOKEN_MS = 1100;
const BETWEEN_TOKENS_MS = 60;
const SEED = 20_261_203;
const DEFAULT_SECONDS = 10;
const WARM_UP_MS = 3000;
const LOST_ENGINE = "runner-3";

interface Sent {
  readonly workspace: string;
  readonly seen: Seen;
}

/** One line of the table. */
interface Row {
  readonly deployment: string;
  readonly load: number;
  readonly fault: string;
  readonly policy: string;
  /** Requests within both targets, a second, over all workspaces. */
  readonly goodput: number;
  /** The share of all prefills whose result nobody took, in percent. */
  readonly wastedPercent: number;
  /** The share within targets of the worst-served workspace that keeps inside its rate, in percent. */
  readonly worstPercent: number;
  /** Refused though inside the rate, in percent. */
  readonly refusedPercent: number;
  readonly offered: number;
}

void run();

async function run(): Promise<void> {
  const seconds = Number(process.argv[2] ?? DEFAULT_SECONDS);
  const rows: Row[] = [];
  const [, , , onlyDeployment, onlyLoad] = process.argv;
  for (const name of DEPLOYMENTS.filter((item) => item === (onlyDeployment ?? item))) {
    for (const load of LOADS.filter((item) => item === Number(onlyLoad ?? item))) {
      for (const fault of ["none", "engine lost"]) {
        for (const policy of ["reserving", "baseline"]) {
          const row = await measure(
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

async function measure(
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
  const [flooding = "", ...keeping] = deployment.workspaces;
  const inside = sent.filter((item) => item.workspace !== flooding);
  const shares = keeping.map((workspace) => {
    const own = inside.filter((item) => item.workspace === workspace);
    return own.filter((item) => isWithinTargets(item.seen)).length / Math.max(1, own.length);
  });
  const prefills = history.filter((event) => event.kind === "prefill").length;
  const wasted = history.filter((event) => event.kind === "wasted").length;
  const refused = inside.filter((item) => item.seen.status !== 200);
  return {
    deployment: deployment.name,
    load,
    fault,
    policy,
    goodput: round(sent.filter((item) => isWithinTargets(item.seen)).length / seconds),
    wastedPercent: round((100 * wasted) / Math.max(1, prefills)),
    worstPercent: round(100 * Math.min(...shares)),
    refusedPercent: round((100 * refused.length) / Math.max(1, inside.length)),
    offered: round(inside.length / seconds),
  };
}

/** Poisson arrivals for each workspace, drawn from one seed; the first sends five times its rate. */
async function sendLoad(
  fleet: Fleet,
  deployment: Deployment,
  fault: string,
  seconds: number,
): Promise<readonly Sent[]> {
  const random = xoroshiro128plus(SEED);
  const draw = () => uniformInt(random, 1, 1_000_000) / 1_000_000;
  const sent: Sent[] = [];
  const calls: Promise<void>[] = [];
  const names = [...fleet.callerPorts.keys()];
  const start = performance.now() + WARM_UP_MS;
  const end = start + seconds * 1000;
  const arrivals = deployment.workspaces.flatMap((workspace, index) => {
    const perMs =
      (deployment.requestsPerSecond / deployment.workspaces.length / 1000) *
      (index === 0 ? FLOOD_FACTOR : 1);
    return drawArrivals(draw, start - WARM_UP_MS, end, perMs).map((at) => ({ at, workspace }));
  });
  arrivals.sort((a, b) => a.at - b.at);
  const losing =
    fault === "none"
      ? undefined
      : setTimeout(() => void fleet.kill(LOST_ENGINE), WARM_UP_MS + seconds * 300);
  for (const [index, { at, workspace }] of arrivals.entries()) {
    await pause(Math.max(0, at - performance.now()));
    const url = fleet.url(names[Math.floor(draw() * names.length)] ?? "");
    const prompt = createPrompt(draw, workspace, index);
    calls.push(
      draft({ url, key: deployment.keys[workspace] ?? "", prompt, maxTokens: OUTPUT_TOKENS }).then(
        (seen) => {
          if (at >= start) sent.push({ workspace, seen });
        },
      ),
    );
  }
  await Promise.all(calls);
  clearTimeout(losing);
  return sent;
}

function drawArrivals(
  draw: () => number,
  from: number,
  to: number,
  perMs: number,
): readonly number[] {
  const arrivals: number[] = [];
  for (let at = from - Math.log(draw()) / perMs; at < to; at -= Math.log(draw()) / perMs)
    arrivals.push(at);
  return arrivals;
}

/** A third of the prompts share the long beginning of their workspace. */
function createPrompt(draw: () => number, workspace: string, index: number): string {
  const tokens = 600 + Math.floor(draw() * 1200);
  const isShared = draw() < 0.33;
  const head = isShared ? `the bylaw of ${workspace} ` : `survey ${index} of ${workspace} `;
  return `${head.repeat(Math.ceil((tokens * 4) / head.length))}${index}`;
}

function isWithinTargets(seen: Seen): boolean {
  if (!seen.isWhole || seen.firstAt === undefined) return false;
  const between = (seen.endedAt - seen.firstAt) / (OUTPUT_TOKENS - 1);
  return seen.firstAt - seen.startedAt <= FIRST_TOKEN_MS && between <= BETWEEN_TOKENS_MS;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
