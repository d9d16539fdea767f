/**
 * The fleet of a soak: the processes of the instances, and in this process the endpoints, the ways to them and the store.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSync } from "esbuild";
import { pause } from "../../src/core/clock";
import { type EndpointEntry, EngineStage } from "../../src/fleet/entries";
import { createSettings } from "../harness/forward";
import { ListenerKeeper } from "../harness/keeper";
import { MemoryStore } from "../harness/memory";
import { findPorts } from "../harness/ports";
import { createSoakConfig, OTHER_SERVICE } from "./changes";
import { type ReceivedRun, SoakEndpoint } from "./endpoint";
import { type InstanceEnd, type InstanceHost, SoakInstance } from "./instance";
import { StoreServer } from "./storechannel";
import { WayControl } from "./waycontrol";

/** Time after which each instance has heard the others, in milliseconds. */
const ACQUAINTED_MS = 1500;
/** Last byte of the loopback address of the first instance's ways. */
const FIRST_HOST = 11;
/**
 * Time from SIGTERM until an instance is killed, in milliseconds: longer than the notice to callers and the longest request
 * together, so that it never cuts a request by itself.
 */
const GRACE_MS = 12_000;
const DATA_CENTRES = ["nizwa", "bahla"];
const ENGINES = { service: "models" };

/** The kinds of endpoints of each data centre, by the beginning of the end of their ids, and how many there are. */
const ENDPOINTS = {
  s: { more: {}, perInstance: 1 / 3, least: 2 },
  o: { more: { service: OTHER_SERVICE }, perInstance: 1 / 6, least: 1 },
  p: { more: { ...ENGINES, stage: EngineStage.prefill }, perInstance: 1 / 6, least: 1 },
  d: { more: { ...ENGINES, stage: EngineStage.decode }, perInstance: 0.6, least: 2 },
} as const;

/** Called for what the fleet sees. */
export interface FleetObserver {
  onRun(run: ReceivedRun): void;
  onEnd(end: InstanceEnd): void;
}

/** A running fleet. */
export class SoakFleet {
  readonly store = new MemoryStore();
  readonly storeServer = new StoreServer(this.store);
  readonly endpoints = new Map<string, SoakEndpoint>();
  readonly instances = new Map<string, SoakInstance>();
  readonly ways: WayControl;
  /** Folder of the bundle and of the logs of the instances. */
  readonly folder = mkdtempSync(join(tmpdir(), "gorsefold-soak-"));
  private readonly keeper = new ListenerKeeper();
  /** A frozen process would outlive this one. */
  private readonly onExit = () => {
    for (const instance of this.instances.values()) instance.signal("SIGKILL");
  };

  private constructor(private readonly observer: FleetObserver) {
    this.ways = new WayControl(this.keeper);
    process.once("exit", this.onExit);
  }

  /** Starts a fleet, and waits until its instances are ready and have heard each other. */
  static async start(instanceCount: number, observer: FleetObserver): Promise<SoakFleet> {
    const fleet = new SoakFleet(observer);
    await fleet.startEndpoints(instanceCount);
    await fleet.createInstances(instanceCount);
    await Promise.all([...fleet.instances.values()].map((instance) => instance.start()));
    await pause(ACQUAINTED_MS);
    return fleet;
  }

  /** Ends all processes; keeps the logs of the instances if asked to. */
  async close(isLogKept: boolean): Promise<void> {
    await Promise.all([...this.instances.values()].map((instance) => instance.kill()));
    this.ways.close();
    for (const endpoint of this.endpoints.values()) endpoint.crash();
    this.keeper.close();
    process.off("exit", this.onExit);
    if (!isLogKept) rmSync(this.folder, { recursive: true });
  }

  private async startEndpoints(instanceCount: number): Promise<void> {
    this.store.putConfig(createSoakConfig(1));
    for (const dataCentre of DATA_CENTRES) {
      for (const [prefix, { more, perInstance, least }] of Object.entries(ENDPOINTS)) {
        const count = Math.max(least, Math.ceil(instanceCount * perInstance));
        for (let number = 1; number <= count; number += 1) {
          await this.startEndpoint(`${dataCentre}-${prefix}${number}`, { ...more, dataCentre });
        }
      }
    }
  }

  private async startEndpoint(id: string, more: Partial<EndpointEntry>): Promise<void> {
    const endpoint = new SoakEndpoint(id, more, (run) => {
      this.observer.onRun(run);
    });
    await endpoint.start();
    this.endpoints.set(id, endpoint);
    this.store.putEndpoint(endpoint.createEntry());
  }

  private async createInstances(count: number): Promise<void> {
    const peers = await findPorts(count);
    const host: InstanceHost = {
      program: this.buildProgram(),
      storeServer: this.storeServer,
      logFolder: this.folder,
      onEnd: (end) => {
        this.observer.onEnd(end);
      },
    };
    for (const [index, peerPort] of peers.entries()) {
      const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
      const name = `${dataCentre}-${Math.floor(index / DATA_CENTRES.length) + 1}`;
      const [callers = 0, ready = 0] = await findPorts(2);
      const at = (port: number) => ({ host: "127.0.0.1", port });
      const settings = {
        ...createSettings(name),
        dataCentre,
        callers: at(callers),
        ready: at(ready),
        peers: at(peerPort),
        knownPeers: peers.filter((port) => port !== peerPort).map((port) => `127.0.0.1:${port}`),
        logLevel: "info",
        graceMs: GRACE_MS,
      } as const;
      const ways = await this.openWays(name, `127.0.0.${FIRST_HOST + index}`);
      this.instances.set(name, new SoakInstance({ settings, ways }, host));
    }
  }

  private async openWays(instance: string, host: string): Promise<Record<string, string>> {
    const ways: Record<string, string> = {};
    for (const { id, address } of this.endpoints.values())
      ways[id] = await this.ways.open(instance, id, host, address);
    return ways;
  }

  private buildProgram(): string {
    const outfile = join(this.folder, "host.js");
    buildSync({
      entryPoints: [join(__dirname, "host.ts")],
      bundle: true,
      platform: "node",
      target: "node20",
      outfile,
      external: ["unix-dgram", "esbuild"],
      logLevel: "error",
    });
    return outfile;
  }
}
