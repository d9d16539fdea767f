/**
 * Starts a fleet on one machine, with one process for each entry instance, engine, service and the platform
 * stand-in, and injects faults into it.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import type { Endpoint } from "../../src/core/config/objects";
import { type HistoryEvent, pause } from "../standin/http";
import {
  createRecord,
  ENGINE_OPTIONS,
  type EnginePlan,
  type FleetPlan,
  type InstancePlan,
  MODEL,
} from "./plan";
import { PlatformClient } from "./platform";
import { findPorts } from "./ports";
import { RunningProcess, RunDirectory } from "./process";
import { Proxy } from "./proxy";

/** Exit status and output of a command. */
export interface CommandResult {
  readonly status: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
const DECODE_SLOTS = 20;
const PREFILL_SLOTS = 2;

/** A running fleet: its processes, and the proxies in this process that inject connection faults. */
export class Fleet {
  readonly workplace = new RunDirectory();
  readonly processes = new Map<string, RunningProcess>();
  /** All processes that were started, also those that others have replaced. */
  private readonly startedProcesses: RunningProcess[] = [];
  /**
   * Proxies by name: the endpoint's name, `log:DC` between a data centre and the log, `peer:DC>NAME` between a data
   * centre and a peer.
   */
  readonly proxies = new Map<string, Proxy>();
  readonly callerPorts = new Map<string, number>();
  private readonly operatorPorts = new Map<string, number>();
  private readonly startFunctions = new Map<string, () => RunningProcess>();
  private readonly platform = new PlatformClient();
  private readonly historyFile = this.workplace.path("history.jsonl");

  constructor(private readonly plan: FleetPlan) {}

  /** Starts all processes, publishes the configuration, and waits until every instance is ready. */
  async start(): Promise<void> {
    const [platformPort = 0] = await findPorts(1);
    this.platform.port = platformPort;
    this.startProcess("platform", () =>
      this.workplace.start("platform", "platform", [
        String(platformPort),
        String(this.plan.retention ?? 100_000),
      ]),
    );
    const endpoints = await this.startEndpoints();
    await this.waitFor(() => this.platform.isAnswering());
    await this.platform.appendToControlStream(createRecord(this.plan, endpoints));
    await this.startInstances();
    await this.platform.publishEntries();
    await this.waitReady();
  }

  /** Kills all processes and closes the proxies. */
  async close(): Promise<void> {
    for (const running of this.processes.values()) {
      running.signal("SIGCONT");
      await running.kill();
    }
    for (const proxy of this.proxies.values()) proxy.close();
  }

  /** Kills a process; an instance is also removed from the platform's list, which shows it after the list's lag. */
  async kill(name: string): Promise<void> {
    await this.processes.get(name)?.kill();
    if (this.platform.find(name)?.kind !== "instance") return;
    await this.setListed(name, false);
  }

  /** Starts a process again under the same name; lists an instance again, or waits until an endpoint listens. */
  async restart(name: string): Promise<void> {
    const start = this.startFunctions.get(name);
    if (start === undefined) return;
    const { kind, port } = this.platform.find(name) ?? {};
    const started = this.startProcess(name, start);
    if (kind === "instance") await this.setListed(name, true);
    // Its proxy accepts connections all the time.
    else if (port !== undefined) await started.waitUntilListening(port);
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.processes.get(name)?.signal(signal);
  }

  /** Lists how processes ended that the harness did not end. */
  listStrayEnds(): readonly string[] {
    return this.startedProcesses.flatMap((started) => started.describeStrayEnd() ?? []);
  }

  /** Sets whether the platform lists a process, and in which state. */
  async setListed(name: string, isListed: boolean, state = "live"): Promise<void> {
    await this.platform.setListed(name, isListed, state);
  }

  /** Sets faults of the platform stand-in; faults that are not named keep their state. */
  async setFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.platform.setFaults(faults);
  }

  /** Partitions a data centre from the log and from instances in other data centres, or heals the partition. */
  setPartitioned(dataCentre: string, isCut: boolean): void {
    for (const [name, proxy] of this.proxies) {
      const isPeer =
        name.startsWith("peer:") &&
        name
          .split(/[:>]/)
          .some((part) => part === dataCentre || this.findDataCentre(part) === dataCentre);
      const isWithinDataCentre =
        isPeer &&
        name.startsWith(`peer:${dataCentre}>`) &&
        this.findDataCentre(name.split(">")[1] ?? "") === dataCentre;
      if ((name === `log:${dataCentre}` || isPeer) && !isWithinDataCentre) {
        if (isCut) proxy.block();
        else proxy.unblock();
      }
    }
  }

  /**
   * Publishes one configuration object as the command line does; deletes it where the value is undefined. Retries until
   * the version advances.
   *
   * @returns the version that an instance then reports
   */
  async putObject(kind: string, name: string, value: unknown): Promise<number> {
    for (;;) {
      const version = await this.readVersion();
      const id = `test-${Math.random()}`;
      await this.platform.appendToControlStream({
        id,
        basedOn: version,
        changes: [{ kind, name, ...(value === undefined ? {} : { value }) }],
      });
      const status = await this.waitForVersion(version);
      if (status !== undefined) return status;
    }
  }

  /** Builds the URL of an instance for callers. */
  url(name: string): string {
    return `http://127.0.0.1:${this.callerPorts.get(name) ?? 0}`;
  }

  /** URL of the platform stand-in, without a proxy. */
  get logUrl(): string {
    return this.platform.url;
  }

  /** Runs an operator's command asynchronously, since the proxies run in this process and must not be blocked. */
  command(args: readonly string[]): Promise<CommandResult> {
    const [command = "", ...rest] = [...this.programCommand, ...args];
    const env = { ...process.env, GORSEFOLD_LOG: this.logUrl, GORSEFOLD_LIST: this.logUrl };
    const child = spawn(command, rest, { env, stdio: ["ignore", "pipe", "pipe"] });
    const output = { stdout: "", stderr: "" };
    child.stdout.on("data", (chunk: Buffer) => (output.stdout += String(chunk)));
    child.stderr.on("data", (chunk: Buffer) => (output.stderr += String(chunk)));
    return new Promise((resolve) => {
      child.on("close", (status) => {
        resolve({ status, ...output });
      });
    });
  }

  private get programCommand(): readonly string[] {
    if (this.plan.binary !== undefined) return [this.plan.binary];
    return [process.execPath, this.workplace.path("main.js")];
  }

  /** Fetches the status of an instance; undefined if it does not respond within one second. */
  async readStatus(name: string): Promise<Record<string, unknown> | undefined> {
    const url = `http://127.0.0.1:${this.operatorPorts.get(name) ?? 0}/status`;
    const answer = await fetch(url, { signal: AbortSignal.timeout(1000) }).catch(() => undefined);
    return answer === undefined ? undefined : ((await answer.json()) as Record<string, unknown>);
  }

  /** Reads the events that the stand-ins recorded. */
  readHistory(): readonly HistoryEvent[] {
    if (!existsSync(this.historyFile)) return [];
    return readFileSync(this.historyFile, "utf8")
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => JSON.parse(line) as HistoryEvent);
  }

  /** Fetches the identifiers of the holds that running engines have now. */
  async readHolds(): Promise<readonly string[]> {
    const holdIds: string[] = [];
    for (const engine of this.plan.engines) {
      const port = this.platform.find(engine.name)?.port ?? 0;
      if (this.processes.get(engine.name)?.isRunning !== true) continue;
      const answer = await fetch(`http://127.0.0.1:${port}/holds`, {
        signal: AbortSignal.timeout(1000),
      }).catch(() => undefined);
      if (answer !== undefined)
        holdIds.push(...((await answer.json()) as { holds: string[] }).holds);
    }
    return holdIds;
  }

  /** Polls a condition until it holds; resolves with false on a timeout. */
  async waitFor(
    check: () => Promise<boolean> | boolean,
    timeoutMs = READY_TIMEOUT_MS,
  ): Promise<boolean> {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (await check()) return true;
      await pause(POLL_INTERVAL_MS);
    }
    return false;
  }

  /**
   * Waits until instances (by default all) are ready, see each other, and, where all are named, have a holder of the
   * rates in each data centre.
   */
  async waitReady(names = this.plan.instances.map((item) => item.name)): Promise<void> {
    const isReady = await this.waitFor(async () => {
      const statuses = await Promise.all(names.map((name) => this.readStatus(name)));
      const duties = statuses.flatMap((status) => (status?.duties ?? []) as string[]);
      const seesMembers = statuses.every((status) => {
        const members = (status?.members ?? []) as string[];
        return names.every((name) => members.includes(name));
      });
      const requiredHolders = new Set(names.map((name) => this.findDataCentre(name))).size;
      const hasHolders =
        names.length < this.plan.instances.length ||
        duties.filter((duty) => duty.startsWith("holder")).length >= requiredHolders;
      return statuses.every((status) => status?.isReady === true) && hasHolders && seesMembers;
    });
    if (isReady) return;
    const statuses = await Promise.all(names.map((name) => this.readStatus(name)));
    const strayEnds = this.listStrayEnds().join("; ");
    throw new Error(
      `the fleet did not become ready: ${JSON.stringify(statuses)}; not ended by the harness: ` +
        `${strayEnds || "none"}; see ${this.workplace.folder}`,
    );
  }

  private findDataCentre(name: string): string | undefined {
    return this.platform.find(name)?.dataCentre;
  }

  private startProcess(name: string, start: () => RunningProcess): RunningProcess {
    this.startFunctions.set(name, start);
    const started = start();
    this.processes.set(name, started);
    this.startedProcesses.push(started);
    return started;
  }

  private async startEndpoints(): Promise<Record<string, Endpoint>> {
    const endpoints: Record<string, Endpoint> = {};
    for (const plan of this.plan.engines) endpoints[plan.name] = await this.startEngine(plan);
    for (const name of this.plan.services) endpoints[name] = await this.startService(name);
    return endpoints;
  }

  private async startEngine(plan: EnginePlan): Promise<Endpoint> {
    const { name, dataCentre, role, labels } = plan;
    const { historyFile } = this;
    const slots = role === "decode" ? DECODE_SLOTS : PREFILL_SLOTS;
    const url = await this.startEndpoint(name, dataCentre, (port) => {
      const options = { ...ENGINE_OPTIONS, slots, ...plan.options, name, port, role, historyFile };
      return this.workplace.start(name, "engine", [JSON.stringify(options)]);
    });
    return {
      url,
      dataCentre,
      role,
      models: [MODEL],
      checksFence: true,
      ...(labels === undefined ? {} : { labels }),
    };
  }

  private async startService(name: string): Promise<Endpoint> {
    const dataCentre = this.plan.instances[0]?.dataCentre ?? "";
    const url = await this.startEndpoint(name, dataCentre, (port) =>
      this.workplace.start(name, "service", [name, String(port), this.historyFile]),
    );
    return { url, dataCentre, role: "service", service: "sheets" };
  }

  /** Starts an endpoint behind a proxy, and returns the URL to connect to. */
  private async startEndpoint(
    name: string,
    dataCentre: string,
    start: (port: number) => RunningProcess,
  ): Promise<string> {
    const [port = 0, proxyPort = 0] = await findPorts(2);
    this.startProcess(name, () => start(port));
    const connectPort = await this.openProxy(name, port, proxyPort);
    this.platform.add({ name, kind: "endpoint", dataCentre, address: "" }, port);
    return `http://127.0.0.1:${connectPort}`;
  }

  /** Opens a proxy and returns the port to connect to, which is the target's own where the plan has no proxies. */
  private async openProxy(name: string, target: number, port: number): Promise<number> {
    if (this.plan.isDirect === true) return target;
    const proxy = new Proxy(target);
    await proxy.listen(port);
    this.proxies.set(name, proxy);
    return port;
  }

  private async startInstances(): Promise<void> {
    const dataCentres = [...new Set(this.plan.instances.map((item) => item.dataCentre))];
    const logPorts = new Map<string, number>();
    for (const dataCentre of dataCentres) {
      const [port = 0] = await findPorts(1);
      const connectPort = await this.openProxy(`log:${dataCentre}`, this.platform.port, port);
      logPorts.set(dataCentre, connectPort);
    }
    for (const plan of this.plan.instances) {
      const logPort = logPorts.get(plan.dataCentre) ?? 0;
      await this.startInstance(plan, dataCentres, `http://127.0.0.1:${logPort}`);
    }
  }

  private async startInstance(
    { name, dataCentre }: InstancePlan,
    dataCentres: readonly string[],
    log: string,
  ): Promise<void> {
    const [callers = 0, peers = 0, operator = 0, ...proxyPorts] = await findPorts(
      3 + dataCentres.length,
    );
    const addressFrom: Record<string, string> = {};
    for (const [index, viewer] of dataCentres.entries()) {
      const port = proxyPorts[index] ?? 0;
      const connectPort = await this.openProxy(`peer:${viewer}>${name}`, peers, port);
      addressFrom[viewer] = `127.0.0.1:${connectPort}`;
    }
    const address = `127.0.0.1:${peers}`;
    this.platform.add({ name, kind: "instance", dataCentre, address, addressFrom });
    const settings = {
      instance: name,
      dataCentre,
      callers: createListenAddress(callers),
      peers: createListenAddress(peers),
      operator: createListenAddress(operator),
      platform: { log, list: `${log}/${dataCentre}` },
      drainNoticeMs: 300,
      ...this.plan.settings,
    };
    const file = this.workplace.path(`${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    this.callerPorts.set(name, callers);
    this.operatorPorts.set(name, operator);
    const command = [...this.programCommand, "serve", "--settings", file];
    const logFile = this.workplace.path(`${name}.log`);
    this.startProcess(name, () => new RunningProcess(name, command, logFile));
  }

  private async readVersion(): Promise<number> {
    const statuses = await Promise.all(
      this.plan.instances.map((item) => this.readStatus(item.name)),
    );
    return Math.max(...statuses.map((status) => Number(status?.configVersion ?? -1)));
  }

  private async waitForVersion(before: number): Promise<number | undefined> {
    const isNewer = await this.waitFor(async () => (await this.readVersion()) > before, 3000);
    return isNewer ? this.readVersion() : undefined;
  }
}

/** Starts a fleet; closes it again if it does not become ready. */
export async function startFleet(plan: FleetPlan): Promise<Fleet> {
  const fleet = new Fleet(plan);
  await fleet.start().catch(async (error: unknown) => {
    await fleet.close();
    throw error;
  });
  return fleet;
}

function createListenAddress(port: number): { readonly host: string; readonly port: number } {
  return { host: "127.0.0.1", port };
}
