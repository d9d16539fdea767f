/**
 * A small deployment: a store, instances of the project's program, and a configuration with a route to
 * one plain service.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { performance } from "node:perf_hooks";
import { createAddresses, createFolder, Instance } from "./instances.mjs";
import { Store } from "./store.mjs";

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Limits of the deployment's sheet, in milliseconds. */
export const DRAIN_MS = 2000;
export const STABLE_MS = 3000;
export const HEARTBEAT_MS = 1200;

export const ZONES = ["nizwa", "bahla", "izki", "samail"];
export const SERVICE = "jobsheet-app";
const STORE_PORT = 8361;
const RUNNER_PORT = 8080;
const FIRST_RUNNER = 100;

/** The record of a case: lines with the time since its start. */
export class CaseRecord {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    this.lines = [];
  }

  add(text, at = performance.now()) {
    this.lines.push({ at, text });
  }

  write() {
    mkdirSync(dirname(this.file), { recursive: true });
    const lines = this.lines.sort((a, b) => a.at - b.at);
    const format = ({ at, text }) => `${((at - this.startedAt) / 1000).toFixed(3)} ${text}\n`;
    writeFileSync(this.file, lines.map(format).join(""));
  }
}

/** Creates a configuration as the operator writes it. */
export function createConfig(version, more = {}) {
  return {
    version,
    routes: [
      {
        name: "issue-record",
        host: "ficu95.example",
        "path-prefix": "/issues/",
        service: SERVICE,
        kind: "unsafe",
        "timeout-ms": 3000,
        "target-latency-ms": 386,
        "max-attempts": 1,
        priority: 2,
        public: true,
      },
      {
        name: "sheet-lookup",
        host: "ficu95.example",
        "path-prefix": "/sheets/",
        service: SERVICE,
        kind: "safe",
        "timeout-ms": 3000,
        "target-latency-ms": 386,
        "max-attempts": 2,
        priority: 2,
        public: true,
      },
    ],
    services: [{ name: SERVICE, "health-path": "/health", "max-connections": 110 }],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 4_194_304,
      "header-timeout-ms": 3000,
      "idle-timeout-ms": 15_000,
    },
    ...more,
  };
}

/** The store and the instances of a case. */
export class Deployment {
  /** @param count - number of instances, spread over the zones */
  constructor(count, config = createConfig(10)) {
    this.at = createAddresses();
    this.folder = createFolder();
    this.store = new Store(this.at(250), STORE_PORT);
    this.config = config;
    const ips = Array.from({ length: count }, (_, index) => this.at(index + 1));
    this.instances = ips.map((ip, index) => {
      const zone = ZONES[index % ZONES.length];
      return new Instance({
        name: `front-${zone}-${1 + Math.floor(index / ZONES.length)}`,
        ip,
        zone,
        zones: ZONES,
        seeds: ips.slice(0, 3),
        store: this.store,
        folder: this.folder,
      });
    });
    this.runnerCount = 0;
  }

  /** Returns the address of the next runner; each has an address of its own. */
  nextRunnerAddress() {
    this.runnerCount += 1;
    return { host: this.at(FIRST_RUNNER + this.runnerCount), port: RUNNER_PORT };
  }

  async start() {
    await this.store.listen();
    this.store.put("keyed.op", "config", this.config);
    for (const instance of this.instances) instance.start(true);
  }

  async waitUntilReady() {
    await Promise.all(this.instances.map((instance) => instance.waitUntilReady()));
  }

  async close() {
    await Promise.all(this.instances.map((instance) => instance.kill()));
    this.store.close();
  }
}

/** Creates random numbers from a seed, so that a play can be repeated as far as its timing allows. */
export function createRandom(seed) {
  let state = seed >>> 0 || 1;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / 2 ** 32;
  };
}
