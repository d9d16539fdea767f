/**
 * Stand-in for a model engine. Its one argument is JSON of the type EngineOptions.
 *
 * A prompt that contains "crash:prefill" or "crash:decode" kills the process in that stage.
 */
import type { ServerResponse } from "node:http";
import { answerJson, History, type JsonRequest, pause, readMachineClock, serveJson } from "./http";
import { computeSeed, computeToken } from "./model";

interface EngineOptions {
  readonly name: string;
  readonly port: number;
  readonly role: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly historyFile: string;
  /** Duration of one decode step, in milliseconds. */
  readonly stepMs: number;
  readonly prefillTokensPerMs: number;
  readonly transferTokensPerMs: number;
  /** How long the result of a prefill is kept for import, in milliseconds. */
  readonly exportMs: number;
  /** How far the served report lags behind the engine's state, in milliseconds. */
  readonly reportLagMs: number;
  readonly checksFence: boolean;
  readonly cacheTokens: number;
  /** True where the first token is written without waiting for the next step, and each token carries its time. */
  readonly isStamped?: boolean;
}

interface Hold {
  readonly id: string;
  readonly timer: NodeJS.Timeout;
  seed: number | undefined;
  index: number;
  maxTokens: number;
  prompt: string;
  response: ServerResponse | undefined;
  lastWriteAt: number;
}

const KEEPALIVE_INTERVAL_MS = 300;
const IMPORT_TIMEOUT_MS = 2000;

const options = JSON.parse(process.argv[2] ?? "{}") as EngineOptions;
const history = new History(options.name, options.historyFile);
const incarnation = `${options.name}-${process.pid}-${Date.now()}`;
const holds = new Map<string, Hold>();
const exports = new Map<string, { prompt: string; tokens: number }>();
const cache = new Map<number, number>();
const evicted: number[] = [];
let role = options.role;
let models = [...options.models];
let fence = -1;
let isDraining = false;
let queuedTokens = 0;
let prefillFreeAt = 0;
let activeTransfers = 0;
let visibleReport: unknown;

setInterval(() => {
  const report = createReport();
  setTimeout(() => {
    visibleReport = report;
  }, options.reportLagMs);
}, 100);
visibleReport = createReport();
setInterval(runDecodeStep, options.stepMs);
process.on("SIGTERM", () => {
  isDraining = true;
});

serveJson(options.port, async (request, response) => {
  if (request.text.includes("gf_") || JSON.stringify(request.headers).includes("gf_"))
    history.record("leak");
  if (request.path === "/report")
    answerJson(response, 200, isDraining ? createReport() : visibleReport);
  else if (request.path === "/holds" && request.method === "POST") reserve(request, response);
  else if (request.path === "/holds") answerJson(response, 200, { holds: [...holds.keys()] });
  else if (request.path === "/holds/release") release(request, response);
  else if (request.path === "/prefill") await prefill(request, response);
  else if (request.path === "/exports") serveExport(request, response);
  else if (request.path === "/decode") await decode(request, response);
  else if (request.path === "/orders") handleOrder(request, response);
  else answerJson(response, 404, {});
});

function createReport(): unknown {
  return {
    name: options.name,
    incarnation,
    role,
    models: [...models],
    slots: options.slots,
    holds: [...holds.keys()],
    queuedTokens,
    draining: isDraining,
    fence,
    evicted: evicted.splice(0),
  };
}

function reserve(request: JsonRequest, response: ServerResponse): void {
  const id = String(request.body.hold);
  if (isDraining) {
    history.record("refused", { hold: id, reason: "draining" });
    answerJson(response, 503, {});
    return;
  }
  if (!holds.has(id) && holds.size >= options.slots) {
    history.record("refused", { hold: id, reason: "full" });
    answerJson(response, 409, {});
    return;
  }
  const timer = setTimeout(() => {
    history.record("lapsed", { hold: id });
    endHold(id);
  }, Number(request.body.ttlMs));
  clearTimeout(holds.get(id)?.timer);
  holds.set(id, {
    id,
    timer,
    seed: undefined,
    index: 0,
    maxTokens: 0,
    prompt: "",
    response: undefined,
    lastWriteAt: 0,
  });
  history.record("reserve", { hold: id });
  answerJson(response, 200, { hold: id });
}

function release(request: JsonRequest, response: ServerResponse): void {
  for (const id of request.body.holds as string[]) {
    if (holds.has(id)) history.record("release", { hold: id });
    holds.get(id)?.response?.end();
    endHold(id);
  }
  answerJson(response, 200, {});
}

function endHold(id: string): void {
  clearTimeout(holds.get(id)?.timer);
  holds.delete(id);
}

async function prefill(request: JsonRequest, response: ServerResponse): Promise<void> {
  const attempt = String(request.body.attempt);
  const prompt = String(request.body.prompt);
  history.record("prefill", { attempt, seed: computeSeed(prompt) });
  if (prompt.includes("crash:prefill")) process.kill(process.pid, "SIGKILL");
  const blocks = request.body.blocks as { hash: number; tokens: number }[];
  const promptTokens = Math.ceil((prompt.length + String(request.body.continued).length) / 4);
  const cachedTokens = Math.max(
    0,
    ...blocks.filter((block) => cache.has(block.hash)).map((block) => block.tokens),
  );
  const uncachedTokens = promptTokens - cachedTokens;
  queuedTokens += uncachedTokens;
  const now = performance.now();
  prefillFreeAt = Math.max(now, prefillFreeAt) + uncachedTokens / options.prefillTokensPerMs;
  await pause(prefillFreeAt - now);
  queuedTokens -= uncachedTokens;
  for (const block of blocks) cacheBlock(block.hash, block.tokens);
  const exportId = `${incarnation}:${attempt}`;
  exports.set(exportId, { prompt, tokens: promptTokens });
  setTimeout(() => {
    if (exports.delete(exportId)) history.record("wasted", { attempt });
  }, options.exportMs);
  answerJson(response, 200, { attempt, exportId, promptTokens, cachedTokens });
}

function cacheBlock(hash: number, tokens: number): void {
  cache.delete(hash);
  cache.set(hash, tokens);
  let cachedTotal = [...cache.values()].reduce((sum, item) => sum + item, 0);
  for (const [oldest, size] of cache) {
    if (cachedTotal <= options.cacheTokens) return;
    cache.delete(oldest);
    evicted.push(oldest);
    cachedTotal -= size;
  }
}

function serveExport(request: JsonRequest, response: ServerResponse): void {
  const id = request.query.get("id") ?? "";
  const found = exports.get(id);
  exports.delete(id);
  if (found === undefined) answerJson(response, 410, {});
  else answerJson(response, 200, found);
}

async function decode(request: JsonRequest, response: ServerResponse): Promise<void> {
  const attempt = String(request.body.attempt);
  const hold = holds.get(String(request.body.hold));
  if (hold === undefined) {
    answerJson(response, 404, {});
    return;
  }
  const source = request.body.import as { url: string; exportId: string } | undefined;
  const from = Number(request.body.from);
  response.writeHead(200, { "content-type": "text/event-stream", "x-attempt-id": attempt });
  response.flushHeaders();
  if (source !== undefined && !(await importCache(hold, source))) {
    response.end("event: failed\ndata: the prefill's result is gone\n\n");
    return;
  }
  if (hold.seed === undefined || response.destroyed || holds.get(hold.id) !== hold) {
    response.end("event: failed\ndata: the hold has nothing to go on with\n\n");
    return;
  }
  history.record("decode", { attempt, hold: hold.id, from, seed: hold.seed });
  hold.response?.destroy();
  hold.response = response;
  hold.index = from;
  hold.maxTokens = Number(request.body.maxTokens);
  if (hold.prompt.includes("crash:decode")) process.kill(process.pid, "SIGKILL");
  if (options.isStamped === true) writeToken(hold, response, hold.seed);
}

function writeToken(hold: Hold, response: ServerResponse, seed: number): void {
  const stamp = options.isStamped === true ? `@${readMachineClock()} ` : "";
  const text = JSON.stringify(`${stamp}${computeToken(seed, hold.index)}`);
  response.write(`data: ${hold.index} ${text}\n\n`);
  hold.index += 1;
  hold.lastWriteAt = performance.now();
}

async function importCache(
  hold: Hold,
  source: { url: string; exportId: string },
): Promise<boolean> {
  const url = `${source.url}/exports?id=${encodeURIComponent(source.exportId)}`;
  const signal = AbortSignal.timeout(IMPORT_TIMEOUT_MS);
  const answer = await fetch(url, { signal }).catch(() => undefined);
  if (answer?.status !== 200) return false;
  const found = (await answer.json()) as { prompt: string; tokens: number };
  activeTransfers += 1;
  await pause((found.tokens * activeTransfers) / options.transferTokensPerMs);
  activeTransfers -= 1;
  hold.seed = computeSeed(found.prompt);
  hold.prompt = found.prompt;
  return true;
}

/** Runs one step of the continuous batch, which writes one token of each active request. */
function runDecodeStep(): void {
  const now = performance.now();
  for (const hold of holds.values()) {
    const { response, seed } = hold;
    if (response === undefined || seed === undefined) continue;
    if (response.destroyed) {
      hold.response = undefined;
      continue;
    }
    if (hold.index < hold.maxTokens) writeToken(hold, response, seed);
    else if (now - hold.lastWriteAt > KEEPALIVE_INTERVAL_MS) response.write(": alive\n\n");
    if (hold.index >= hold.maxTokens) {
      history.record("end", { hold: hold.id, tokens: hold.index });
      endHold(hold.id);
      response.end("event: end\ndata: done\n\n");
    }
  }
}

function handleOrder(request: JsonRequest, response: ServerResponse): void {
  const requestedFence = Number(request.body.fence);
  history.record("order", {
    fence: requestedFence,
    role: request.body.role,
    models: request.body.models,
    stale: requestedFence < fence,
  });
  if (options.checksFence && requestedFence < fence) {
    answerJson(response, 412, {});
    return;
  }
  fence = Math.max(fence, requestedFence);
  role = String(request.body.role);
  models = request.body.models as string[];
  answerJson(response, 200, {});
}
