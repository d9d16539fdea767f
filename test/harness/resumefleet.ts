/**
 * A fleet of instances in processes of their own, whose callers take up streams again after all instances were killed
 * at once. The store and the engines run in the test's process. Engines write entries as often as the platform's do;
 * their history from before the start of the fleet is put into the store at once.
 */
import { mkdtempSync, rmSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSync } from "esbuild";
import { pause } from "../../src/core/clock";
import { EngineStage, type EndpointEntry } from "../../src/fleet/entries";
import { SoakInstance } from "../soak/instance";
import { StoreServer } from "../soak/storechannel";
import { get, type ReceivedResponse } from "./fixture";
import { createConfig, createEntry, createSettings, waitUntil } from "./forward";
import { MemoryStore } from "./memory";
import { findPorts } from "./ports";
import { RawEndpoint } from "./raw";

/** Time between two entries of an engine, in milliseconds, as on the platform. */
const ENTRY_INTERVAL_MS = 1200;
/** Number of earlier entries of an engine that the store has at the start: about 20 s. */
const EARLIER_ENTRIES = 17;
/** Time after which the instances have heard each other and know the list, in milliseconds. */
const ACQUAINTED_MS = 1300;
/** How long streams run until the instances are killed, in milliseconds; origins are shared meanwhile. */
const SHARING_MS = 1000;
const SERVICE = "models";

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** An engine: begins streams that it leaves open, and ends those that are taken up again. */
class ResumeEngine {
  readonly endpoint: RawEndpoint;
  entry: EndpointEntry | undefined;
  /** False while it leaves streams open that are taken up. */
  isEnding = true;
  /** By the ids of the requests that it began and that it went on with: the version that it had. */
  readonly begun = new Map<string, string>();
  readonly takenUp = new Map<string, string>();

  constructor(public version: string) {
    this.endpoint = new RawEndpoint((head, socket) => {
      this.answer(head, socket);
    });
  }

  private answer(head: string, socket: Socket): void {
    if (!head.includes("x-task: run")) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
      return;
    }
    const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
    const after = /x-after: (\d+)/i.exec(head)?.[1];
    (after === undefined ? this.begun : this.takenUp).set(id, this.version);
    const from = Number(after ?? "0");
    socket.write(
      `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n` +
        "transfer-encoding: chunked\r\n\r\n",
    );
    socket.write(chunk(event(from + 1)) + chunk(event(from + 2)));
    if (after !== undefined && this.isEnding) socket.write("0\r\n\r\n");
  }
}

/** A stream that was begun, and the engine's version that wrote its first event. */
interface BegunStream {
  readonly id: string;
  readonly version: string | undefined;
}

/** A stream that was taken up: the answer, and the versions of the engines that went on with it. */
export interface ResumedStream {
  readonly status: number;
  readonly isComplete: boolean;
  readonly retryMs: string;
  readonly began: string | undefined;
  readonly wentOnAt: readonly string[];
  readonly tookMs: number;
}

/** A fleet with its store and engines. */
export class ResumeFleet {
  readonly store = new MemoryStore();
  readonly storeServer = new StoreServer(this.store);
  readonly engines = new Map<string, ResumeEngine>();
  private readonly folder = mkdtempSync(join(tmpdir(), "gorsefold-resume-"));
  private readonly timers = new Map<string, NodeJS.Timeout>();
  private instances: readonly SoakInstance[] = [];
  private open: Promise<ReceivedResponse>[] = [];
  private streamCount = 0;

  constructor() {
    this.store.putConfig(createConfig(1));
  }

  /** Starts the instances and waits until they know each other. */
  async start(size: number): Promise<void> {
    const host = {
      program: this.buildProgram(),
      storeServer: this.storeServer,
      logFolder: this.folder,
      onEnd: () => undefined,
    };
    const ports = await findPorts(size);
    this.instances = ports.map((port, index) => {
      const settings = {
        ...createSettings(`nizwa-${index + 1}`),
        peers: { host: "127.0.0.1", port },
        knownPeers: ports.filter((other) => other !== port).map((other) => `127.0.0.1:${other}`),
        logLevel: "info",
      } as const;
      return new SoakInstance({ settings, ways: {} }, host);
    });
    await Promise.all(this.instances.map((instance) => instance.start()));
    await pause(ACQUAINTED_MS);
  }

  /**
   * Adds an engine.
   *
   * @param earlier - number of entries that its process wrote before
   */
  async addEngine(id: string, version: string, earlier = EARLIER_ENTRIES): Promise<void> {
    const engine = this.engines.get(id) ?? new ResumeEngine(version);
    this.engines.set(id, engine);
    const more = {
      service: SERVICE,
      stage: EngineStage.decode,
      version,
      processStartedAt: Date.now() - earlier * ENTRY_INTERVAL_MS,
      sequence: 0,
    };
    engine.entry = createEntry(id, await engine.endpoint.listen(), more);
    for (let entry = 0; entry <= earlier; entry += 1) this.putNextEntry(engine);
    this.timers.set(
      id,
      setInterval(() => {
        this.putNextEntry(engine);
      }, ENTRY_INTERVAL_MS),
    );
  }

  /** Replaces the process of an engine by one of another version, under the same id and address. */
  returnEngine(id: string, version: string): void {
    const engine = this.engines.get(id);
    if (engine?.entry === undefined) return;
    engine.version = version;
    engine.entry = { ...engine.entry, version, processStartedAt: Date.now(), sequence: 0 };
    this.store.endpoints.put(id, undefined);
    this.putNextEntry(engine);
  }

  /** Removes an engine and its entry. */
  removeEngine(id: string): void {
    clearInterval(this.timers.get(id));
    this.store.endpoints.put(id, undefined);
    this.engines.get(id)?.endpoint.close();
  }

  /** Begins streams over all instances, and lets them run for a while. */
  async beginStreams(count: number): Promise<readonly BegunStream[]> {
    const ids = Array.from({ length: count }, () => `s${(this.streamCount += 1)}`);
    const begun = ids.map((id, turn) => get(this.findPort(turn), `/summary/${id}`, { "x-id": id }));
    this.open.push(...begun);
    await waitUntil(() => ids.every((id) => this.findBeginner(id) !== undefined));
    await pause(SHARING_MS);
    return ids.map((id) => ({ id, version: this.findBeginner(id) }));
  }

  /** Has callers take up streams that go on until the instances are killed. */
  async takeUpOpenly(streams: readonly BegunStream[]): Promise<readonly BegunStream[]> {
    for (const engine of this.engines.values()) engine.isEnding = false;
    const taken = streams.map(({ id, version }) => ({ id: `${id}-open`, version }));
    const open = streams.map(({ id }, turn) => {
      const headers = { "x-id": `${id}-open`, "x-of": id, "x-after": "2" };
      return get(this.findPort(turn + 1), `/summary/${id}`, headers);
    });
    this.open.push(...open);
    await waitUntil(() => taken.every(({ id }) => this.listTakers(id).length > 0));
    await pause(SHARING_MS);
    for (const engine of this.engines.values()) engine.isEnding = true;
    return taken;
  }

  /** Kills all instances at once. */
  async killAll(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.kill()));
    await Promise.allSettled(this.open.splice(0));
  }

  /** Starts all instances again; resolves once they are ready. */
  async restartAll(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.start()));
  }

  /**
   * Has callers take up streams, each at another instance than the one that began it; a caller asks again while it is
   * told when to.
   */
  takeUp(streams: readonly BegunStream[], tries = 4): Promise<readonly ResumedStream[]> {
    return Promise.all(
      streams.map(async ({ id, version: began }, turn) => {
        const headers = { "x-id": `${id}-again`, "x-of": id, "x-after": "2" };
        for (let attempt = 1; ; attempt += 1) {
          const startedAt = performance.now();
          const answer = await get(this.findPort(turn + 1), `/summary/${id}`, headers);
          const tookMs = performance.now() - startedAt;
          const retryMs = String(answer.headers["x-retry-ms"] ?? "");
          const wentOnAt = this.listTakers(`${id}-again`);
          const { status, isComplete } = answer;
          const isLast = attempt >= tries || status !== 503 || retryMs === "";
          if (isLast) return { status, isComplete, retryMs, began, wentOnAt, tookMs };
          await pause(Number(retryMs));
        }
      }),
    );
  }

  async close(): Promise<void> {
    for (const timer of this.timers.values()) clearInterval(timer);
    await this.killAll();
    for (const { endpoint } of this.engines.values()) endpoint.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private putNextEntry(engine: ResumeEngine): void {
    if (engine.entry === undefined) return;
    engine.entry = { ...engine.entry, sequence: engine.entry.sequence + 1 };
    this.store.putEndpoint(engine.entry);
  }

  private findBeginner(id: string): string | undefined {
    const versions = [...this.engines.values()].map(({ begun }) => begun.get(id));
    return versions.find((version) => version !== undefined);
  }

  private listTakers(id: string): readonly string[] {
    return [...this.engines.values()].flatMap(({ takenUp }) => takenUp.get(id) ?? []);
  }

  private findPort(turn: number): number {
    return this.instances[turn % this.instances.length]?.getPort("callers") ?? 0;
  }

  private buildProgram(): string {
    const outfile = join(this.folder, "host.js");
    buildSync({
      entryPoints: [join(__dirname, "../soak/host.ts")],
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
