/**
 * Measures the latency that an entry instance adds to the first token and to each token. Each pair sends the same
 * request to the engines directly and then through the router, in one run.
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
const OUTPUT_TOKENS = 20;
const MICROSECONDS_PER_MS = 1000;
const TOKEN_TIMESTAMP = /@([\d.]+) /g;

/** Latencies of one request, in milliseconds. */
interface Exchange {
  readonly firstTokenMs: number;
  /** Delay of each token from the time at which the engine wrote it until its arrival. */
  readonly tokenDelaysMs: readonly number[];
}

/**
 * Addresses of the engines, and the incarnation of an instance that is given as the owner of direct holds, so that
 * the sweeper does not release them as orphans.
 */
interface EngineUrls {
  readonly prefill: string;
  readonly decode: string;
  readonly owner: string;
}

const engineOptions = { isStamped: true, stepMs: 15, reportLagMs: 100 };
const plan: FleetPlan = {
  ...SMALL_FLEET,
  isDirect: true,
  settings: { logLevel: process.env.LOG_LEVEL ?? "info" },
  engines: SMALL_FLEET.engines.map((item) => ({ ...item, options: engineOptions })),
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
    const directExchange = await callDirect(urls, prompt, pair);
    const routedExchange = await callRouted(fleet.url("nizwa-1"), prompt);
    if (pair < 20) continue;
    recordExchange(direct, directExchange);
    recordExchange(routed, routedExchange);
    added.recordValue(
      Math.max(
        1,
        Math.round(
          (routedExchange.firstTokenMs - directExchange.firstTokenMs) * MICROSECONDS_PER_MS,
        ),
      ),
    );
  }
  const status = await fleet.readStatus("nizwa-1");
  await fleet.close();
  await agent.close();
  const result = {
    command: `npm run measure:overhead -- ${pairs}`,
    machineLoad: loadavg(),
    unit: "milliseconds",
    firstToken: {
      direct: readPercentiles(direct.first),
      routed: readPercentiles(routed.first),
      addedPaired: readPercentiles(added),
    },
    eachToken: { direct: readPercentiles(direct.token), routed: readPercentiles(routed.token) },
    eventLoopDelayP99: status?.eventLoopDelayP99Ms,
  };
  console.log(JSON.stringify(result, null, 2));
  mkdirSync("measure/out", { recursive: true });
  writeFileSync("measure/out/overhead.json", JSON.stringify(result, null, 2));
}

/** Makes the same calls to the engines as the router does: hold, prefill and decode. */
async function callDirect(urls: EngineUrls, prompt: string, pair: number): Promise<Exchange> {
  const id = `${urls.owner}:direct${pair}`;
  const startedAt = readMachineClock();
  await post(`${urls.decode}/holds`, { hold: id, owner: urls.owner, ttlMs: 10_000 });
  const prefillBody = { attempt: id, model: MODEL, prompt, continued: "", blocks: [], priority: 1 };
  const { exportId } = (await post(`${urls.prefill}/prefill`, prefillBody)) as { exportId: string };
  const source = { url: urls.prefill, exportId };
  const decodeBody = {
    attempt: id,
    hold: id,
    model: MODEL,
    import: source,
    from: 0,
    maxTokens: OUTPUT_TOKENS,
    priority: 1,
  };
  return readTokens(`${urls.decode}/decode`, {}, decodeBody, startedAt);
}

function callRouted(url: string, prompt: string): Promise<Exchange> {
  const startedAt = readMachineClock();
  const headers = { authorization: `Bearer ${KEYS.large}` };
  const body = { model: MODEL, prompt, max_tokens: OUTPUT_TOKENS, stream: true };
  return readTokens(`${url}/v1/completions`, headers, body, startedAt);
}

async function readTokens(
  url: string,
  headers: Readonly<Record<string, string>>,
  body: unknown,
  startedAt: number,
): Promise<Exchange> {
  const response = await request(url, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify(body),
  });
  let firstTokenMs = Number.NaN;
  const tokenDelaysMs: number[] = [];
  let text = "";
  for await (const chunk of response.body) {
    text += String(chunk);
    const now = readMachineClock();
    for (const [, stamp] of String(chunk).matchAll(TOKEN_TIMESTAMP)) {
      if (Number.isNaN(firstTokenMs)) firstTokenMs = now - startedAt;
      tokenDelaysMs.push(now - Number(stamp));
    }
  }
  if (tokenDelaysMs.length !== OUTPUT_TOKENS)
    throw new Error(`${tokenDelaysMs.length} of ${OUTPUT_TOKENS} tokens came from ${url}: ${text}`);
  return { firstTokenMs, tokenDelaysMs };
}

async function post(url: string, body: unknown): Promise<unknown> {
  const response = await request(url, {
    method: "POST",
    dispatcher: agent,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return response.body.json();
}

async function readEngineUrls(fleet: Fleet): Promise<EngineUrls> {
  await pause(500);
  const output = await fleet.command(["config", "show", "--json"]);
  const { configuration } = JSON.parse(output.stdout) as {
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

function recordExchange(
  histograms: { readonly first: Histogram; readonly token: Histogram },
  exchange: Exchange,
): void {
  histograms.first.recordValue(Math.round(exchange.firstTokenMs * MICROSECONDS_PER_MS));
  for (const ms of exchange.tokenDelaysMs)
    histograms.token.recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));
}

function readPercentiles(histogram: Histogram): { readonly p50: number; readonly p99: number } {
  const readMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50: readMs(50), p99: readMs(99) };
}
