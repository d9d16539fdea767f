/**
 * Measures what a fleet of idle instances costs: processor time of each process, calls to the store, time until each
 * is ready, and whether all see each other. The instances are processes of their own; this one is their store.
 *
 * Usage: npx tsx measure/fleet.ts SIZE [DATA_CENTRES] [SECONDS] [MAX_DIRECT_INSTANCES]
 */
import { type ChildProcess, fork } from "node:child_process";
import { mkdtempSync, openSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSync } from "esbuild";
import { pause } from "../src/core/clock";
import type { ForwardSettings } from "../src/forward/settings";
import { get } from "../test/harness/fixture";
import { createConfig, createEntry, createSettings } from "../test/harness/forward";
import { MemoryStore } from "../test/harness/memory";
import { findPorts } from "../test/harness/ports";
import { StoreServer } from "../test/soak/storechannel";

/** Ticks of processor time in a second, as the kernel reports it. */
const TICKS_PER_SECOND = 100;
const ENDPOINTS = 48;
/** Interval at which each endpoint writes its entry, in milliseconds. */
const ENTRY_INTERVAL_MS = 1200;
const POLL_STEP_MS = 20;
const READY_TIMEOUT_MS = 60_000;
/** Time after all are ready until the measurement begins, in milliseconds. */
const SETTLE_MS = 8000;

const [size = 86, dataCentres = 6, seconds = 15, maxDirect = 16] = process.argv
  .slice(2)
  .map(Number);

interface Running {
  readonly settings: ForwardSettings;
  readonly child: ChildProcess;
}

void main();

async function main(): Promise<void> {
  const store = createStore();
  const calls = new Map<string, number>();
  const server = new StoreServer(store);
  const folder = mkdtempSync(join(tmpdir(), "gorsefold-fleet-"));
  const program = join(folder, "host.js");
  buildSync({
    entryPoints: [join(__dirname, "../test/soak/host.ts")],
    bundle: true,
    platform: "node",
    target: "node20",
    outfile: program,
    external: ["unix-dgram", "esbuild"],
    logLevel: "error",
  });
  const instances: Running[] = [];
  const startedAt = performance.now();
  const ports = await findPorts(3 * size);
  for (let index = 0; index < size; index += 1) {
    const settings = createInstanceSettings(index, ports);
    const log = openSync(join(folder, `${settings.instance}.log`), "a");
    const child = fork(program, [], {
      stdio: ["ignore", log, log, "ipc"],
      serialization: "advanced",
    });
    child.on("message", (message) => {
      const { part, method } = message as { part: string; method: string };
      calls.set(`${part} ${method}`, (calls.get(`${part} ${method}`) ?? 0) + 1);
    });
    server.serve(child);
    child.send({ settings, ways: {} });
    instances.push({ settings, child });
  }
  try {
    await report(instances, calls, startedAt, folder);
  } finally {
    for (const { child } of instances) child.kill("SIGKILL");
  }
  process.exit();
}

async function report(
  instances: readonly Running[],
  calls: Map<string, number>,
  startedAt: number,
  folder: string,
): Promise<void> {
  const readyMs = await Promise.all(
    instances.map(async ({ settings }) => {
      while (performance.now() - startedAt < READY_TIMEOUT_MS) {
        const isReady = await get(settings.ready.port, "/").then(
          ({ status }) => status === 200,
          () => false,
        );
        if (isReady) return performance.now() - startedAt;
        await pause(500);
      }
      return Number.POSITIVE_INFINITY;
    }),
  );
  print("ready, ms", readyMs, 1);
  await pause(SETTLE_MS);
  print("processor time until settled, ms", instances.map(readProcessorMs), 1);
  console.log("store calls until settled", Object.fromEntries(calls));
  calls.clear();
  const before = instances.map(readProcessorMs);
  await pause(seconds * 1000);
  const cores = instances.map((instance, index) => {
    return (readProcessorMs(instance) - (before[index] ?? 0)) / (seconds * 1000);
  });
  print("cores per instance", cores, 10_000);
  print("resident memory, MB", instances.map(readMemoryMb), 1);
  console.log(`store calls in ${seconds} s`, Object.fromEntries(calls));
  console.log("logs", folder);
}

function createInstanceSettings(index: number, ports: readonly number[]): ForwardSettings {
  const dataCentre = `dc${index % dataCentres}`;
  const at = (place: number) => ({ host: "127.0.0.1", port: ports[3 * index + place] ?? 0 });
  const seeds = [7, 13, 29].map((step) => (index * step + step) % size);
  return {
    ...createSettings(`${dataCentre}-${Math.floor(index / dataCentres) + 1}`),
    dataCentre,
    callers: at(0),
    ready: at(1),
    peers: at(2),
    knownPeers: seeds
      .filter((seed) => seed !== index)
      .map((seed) => `127.0.0.1:${ports[3 * seed + 2] ?? 0}`),
    logLevel: "info",
    drainMs: 2000,
    configApplyMs: 2000,
    maxDirectInstances: maxDirect,
    startHoldMs: 2500,
  };
}

/** Creates a store whose endpoints write their entries again and again, and whose long polls wait. */
function createStore(): MemoryStore {
  const store = new MemoryStore();
  store.configuration.put("config", Buffer.from(JSON.stringify(createConfig(1))));
  const { read } = store.configuration;
  store.configuration.read = (from, waitMs) => async () => {
    const end = performance.now() + waitMs;
    while (store.configuration.records.length <= from && performance.now() < end) {
      await pause(POLL_STEP_MS);
    }
    return read(from, 0)();
  };
  let sequence = 0;
  const putEntries = () => {
    sequence += 1;
    for (let index = 0; index < ENDPOINTS; index += 1) {
      const id = `e${index}`;
      const entry = createEntry(id, `127.0.0.1:${1 + index}`, { sequence });
      store.endpoints.put(id, Buffer.from(JSON.stringify(entry)));
    }
  };
  putEntries();
  setInterval(putEntries, ENTRY_INTERVAL_MS).unref();
  return store;
}

function readProcessorMs({ child }: Running): number {
  const fields =
    readFileSync(`/proc/${child.pid ?? 0}/stat`, "utf8")
      .split(") ")[1]
      ?.split(" ") ?? [];
  return ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_SECOND;
}

function readMemoryMb({ child }: Running): number {
  const status = readFileSync(`/proc/${child.pid ?? 0}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
}

function print(name: string, values: readonly number[], scale: number): void {
  const sorted = [...values].sort((a, b) => a - b);
  const round = (value: number | undefined) => Math.round((value ?? 0) * scale) / scale;
  const mean = sorted.reduce((sum, value) => sum + value, 0) / sorted.length;
  const median = sorted[Math.floor(sorted.length / 2)];
  console.log(`${name}: mean ${round(mean)}, median ${round(median)}, max ${round(sorted.at(-1))}`);
}
