/**
 * Measures what an entry instance adds to the first token and to each token: the same exchange with
 * the engines made directly and through the router, in turn, in one run.
 *
 * Usage: npm run measure:overhead [-- pairs]
 */
import { loadavg } from "node:os";
import { mkdirSync, writeFileSync } from "node:fs";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { type Fleet, startFleet } from "../test/harness/fleet";
import { type FleetPlan, KEYS, MODEL, SMALL_FLEET } from "../test/harness/plan";
import { pause, readMachineClock } from "../test/standin/http";

const DEFAULT_PAIRS = 400;
const TOKENS = 20;
const MICROSECONDS = 1000;
const STAMP = /@([\d.]+) /g;

/** The moments of one exchange, in milliseconds. */
interface Exchange {
  readonly firstMs: number;
  /** How late each token came after the engine wrote it. */
  readonly tokenMs: readonly number[];
}

/** Where the caller finds the engines, and whom its holds are said to be of, lest they be swept. */
interface Urls {
  readonly prefill: string;
  readonly decode: string;
  readonly owner: string;
}

const engine = { isStamped: true, stepMs: 15, reportLagMs: 100 };
const plan: FleetPlan = {
  ...SMALL_FLEET,
  isDirect: true,
  settings: { logLevel: process.env.LOG_LEVEL ?? "info" },
  engines: SMALL_FLEET.engines.map((item) => ({ ...item, options: engine })),
};
const agent = new Agent({ connections: 4 });

void run();

async function run(): Promise<void> {
  const pairs = Number(process.argv[2] ?? DEFAULT_PAIRS);
  const fleet = await startFleet(plan);
  const urls = await readEngineUrls(fleet);
  const direct = { first: createHistogram(), token: createHistogram() };
  const routed = { first: createHistogram(), token: createHistogram() };
  const added = createHistogram();
  for (let pair = 0; pair < pairs + 20; pair += 1) {
    const prompt = `pair ${pair}`;
    const near = await callDirect(urls, prompt, pair);
    const far = await callRouted(fleet.url("nizwa-1"), prompt);
    if (pair < 20) continue;
    record(direct, near);
    record(routed, far);
    added.recordValue(Math.max(1, Math.round((far.firstMs - near.firstMs) * MICROSECONDS)));
  }
  const status = await fleet.readStatus("nizwa-1");
  await fleet.close();
  await agent.close();
  const result = {
    command: `npm run measure:overhead -- ${pairs}`,
    machineLoad: loadavg(),
    unit: "milliseconds",
    firstToken: {
      direct: read(direct.first),
      routed: read(routed.first),
      addedPaired: read(added),
    },
    eachToken: { direct: read(direct.token), routed: read(routed.token) },
    eventLoopDelayP99: status?.eventLoopDelayP99Ms,
  };
  console.log(JSON.stringify(result, null, 2));
  mkdirSync("measure/out", { recursive: true });
  writeFileSync("measure/out/overhead.json", JSON.stringify(result, null, 2));
}

/** The exchange that the router makes, made by the caller itself. */
async function callDirect(urls: Urls, prompt: string, pair: number): Promise<Exchange> {
  const id = `${urls.owner}:direct${pair}`;
  const startedAt = readMachineClock();
  await post(`${urls.decode}/holds`, { hold: id, owner: urls.owner, ttlMs: 10_000 });
  const body = { attempt: id, model: MODEL, prompt, continued: "", blocks: [], priority: 1 };
  const { exportId } = (await post(`${urls.prefill}/prefill`, body)) as { exportId: string };
  const source = { url: urls.prefill, exportId };
  const decode = {
    attempt: id,
    hold: id,
    model: MODEL,
    import: source,
    from: 0,
    maxTokens: TOKENS,
    priority: 1,
  };
  return readTokens(`${urls.decode}/decode`, {}, decode, startedAt);
}

function callRouted(url: string, prompt: string): Promise<Exchange> {
  const startedAt = readMachineClock();
  const headers = { authorization: `Bearer ${KEYS.large}` };
  const body = { model: MODEL, prompt, max_tokens: TOKENS, stream: true };
  return readTokens(`${url}/v1/completions`, headers, body, startedAt);
}

async function readTokens(
  url: string,
  headers: Readonly<Record<string, string>>,
  body: unknown,
  startedAt: number,
): Promise<Exchange> {
  const answer = await request(url, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify(body),
  });
  let firstMs = Number.NaN;
  const tokenMs: number[] = [];
  let text = "";
  for await (const chunk of answer.body) {
    text += String(chunk);
    const now = readMachineClock();
    for (const [, stamp] of String(chunk).matchAll(STAMP)) {
      if (Number.isNaN(firstMs)) firstMs = now - startedAt;
      tokenMs.push(now - Number(stamp));
    }
  }
  if (tokenMs.length !== TOKENS)
    throw new Error(`${tokenMs.length} of ${TOKENS} tokens came from ${url}: ${text}`);
  return { firstMs, tokenMs };
}

async function post(url: string, body: unknown): Promise<unknown> {
  const answer = await request(url, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return answer.body.json();
}

async function readEngineUrls(fleet: Fleet): Promise<Urls> {
  await pause(500);
  const shown = await fleet.command(["config", "show", "--json"]);
  const { configuration } = JSON.parse(shown.stdout) as {
    configuration: { endpoints: Record<string, { url: string }> };
  };
  const { endpoints } = configuration;
  const status = await fleet.readStatus("nizwa-2");
  return {
    prefill: endpoints["prefill-1"]?.url ?? "",
    decode: endpoints["decode-1"]?.url ?? "",
    owner: String(status?.incarnation),
  };
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

function record(
  into: { readonly first: Histogram; readonly token: Histogram },
  exchange: Exchange,
): void {
  into.first.recordValue(Math.round(exchange.firstMs * MICROSECONDS));
  for (const ms of exchange.tokenMs)
    into.token.recordValue(Math.max(1, Math.round(ms * MICROSECONDS)));
}

function read(histogram: Histogram): { readonly p50: number; readonly p99: number } {
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return { p50: at(50), p99: at(99) };
}
