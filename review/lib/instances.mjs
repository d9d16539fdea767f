/**
 * Starts the project's own program as the deploy file says, one process for each instance, with the
 * settings of a small deployment on loopback addresses.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";

/** The repository's root. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const PORTS = { front: 8360, ready: 8365, control: 8367 };
const READY_TIMEOUT_MS = 15_000;

/** Reads the command of the deploy file. */
function readCommand() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "([^"]+)"$/m.exec(deploy)?.[1];
  if (run === undefined) throw new Error("no run line in the deploy file");
  return run.split(" ");
}

/** Creates loopback addresses that no other script on this machine is likely to use. */
export function createAddresses() {
  const block = process.pid % 60_000;
  const prefix = `127.${10 + Math.floor(block / 250)}.${1 + (block % 250)}`;
  return (number) => `${prefix}.${number}`;
}

/** Creates a temporary folder, which is removed as this process exits. */
export function createFolder() {
  const folder = mkdtempSync(join(tmpdir(), "gorsefold-review-"));
  process.once("exit", () => {
    if (process.env["KEEP_LOGS"] === undefined) rmSync(folder, { recursive: true, force: true });
  });
  return folder;
}

/** Processes that run; none outlives this one. */
const running = new Set();

process.once("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));

/** One instance, over the lifetimes of its processes. */
export class Instance {
  /** @param options - name, ip, zone, zones, seeds, store, folder, settings (overrides) */
  constructor(options) {
    this.options = options;
    this.file = join(options.folder, `${options.name}.json`);
    this.logFile = join(options.folder, `${options.name}.log`);
    this.child = undefined;
  }

  get name() {
    return this.options.name;
  }

  get front() {
    return { host: this.options.ip, port: PORTS.front };
  }

  start(isFirst = false) {
    writeFileSync(this.file, JSON.stringify(createSettings(this.options, isFirst)));
    const [command, ...args] = readCommand();
    const log = openSync(this.logFile, "a");
    const { PATH, HOME } = process.env;
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG: "C", GORSEFOLD_BOOT: this.file },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    const { child } = this;
    running.add(child);
    this.exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        running.delete(child);
        resolve({ code, signal });
      });
    });
  }

  get isRunning() {
    const { child } = this;
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  async kill() {
    this.signal("SIGKILL");
    await this.exited;
  }

  /** Asks as the platform does whether the instance takes connections. */
  isReady() {
    return new Promise((resolve) => {
      const { ip } = this.options;
      const options = { host: ip, port: PORTS.ready, path: "/-/ready", timeout: 500, agent: false };
      const check = request(options, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      check.on("timeout", () => check.destroy());
      check.on("error", () => resolve(false));
      check.end();
    });
  }

  async waitUntilReady() {
    const end = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (performance.now() > end) throw new Error(`${this.name} is not ready in time`);
      await pause(50);
    }
  }
}

function createSettings({ name, ip, zone, zones, seeds, store, settings }, isFirst) {
  return {
    "node-name": name,
    role: "router",
    "machine-class": "front",
    serves: ["front", "control"],
    ip,
    zone,
    region: "dakhiliyah",
    zones: Object.fromEntries(zones.map((each) => [each, "dakhiliyah"])),
    listen: {
      front: `${ip}:${PORTS.front}`,
      ready: `${ip}:${PORTS.ready}`,
      control: `${ip}:${PORTS.control}`,
    },
    "internal-ports": [7500, 7515],
    seeds: seeds.map((seed) => `${seed}:${PORTS.control}`),
    bootstrap: isFirst,
    "counts-toward-tolerance": false,
    limits: { "cpu-share": 0.675, cores: 1, "memory-mb": 200, "max-fds": 4100, "link-mbps": 1000 },
    "data-dir": null,
    discovery: "platform",
    entry: "vip",
    "heartbeat-ms": 1200,
    contracts: [
      "base",
      "drain",
      "config",
      "cost",
      "retry",
      "recover",
      "split",
      "stream",
      "engine",
      "tenants",
      "quota",
      "platform",
    ],
    "fault-tolerance": { machines: 1, zones: 1, regions: 0 },
    bounds: {
      "seed-lag-s": 3,
      "reuse-after-s": 2,
      "stability-window-ms": 3000,
      "ack-ms": 4000,
      "catch-up-s": 4,
      "drain-ms": 2000,
      "grace-s": 8,
      "loss-slack-ms": 200,
      "config-apply-ms": 2000,
      "rollback-slack-ms": 250,
      "outer-ms": 5000,
      "strict-revocation": false,
      "revoke-ms": 5000,
      "retry-budget-ratio": 0.2,
      "budget-window-s": 10,
      "budget-slack": 56,
      "quota-window-s": 8,
      "quota-over": 0.1,
      "quota-slack": 190000,
      "recover-s": 12,
      "transit-ms": 120,
      "again-s": 8.5,
      "require-fencing": false,
      "lease-ms": 3000,
      "thaw-ms": 300,
    },
    platform: {
      address: store.address,
      form: "log",
      "writes-per-s": 400,
      "reads-per-s": 2000,
      parts: 12,
      "append-ms": 2,
      "part-mb-s": 20,
      "read-mb-s": 80,
      "record-bytes": 262_144,
      "call-bytes": 2_097_152,
      keep_s: 20,
      "part-mb": 200,
      "ttl-min-ms": 1000,
    },
    ...settings,
  };
}
