/**
 * Starts processes of the product and of the stand-ins, from bundles made once a run.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdtempSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSync } from "esbuild";

/** What can be started. */
export type Program = "main" | "platform" | "engine" | "service";

const root = join(__dirname, "../..");

/** A folder for one run: bundles, settings, logs and history. */
export class RunDirectory {
  readonly folder = mkdtempSync(join(tmpdir(), "gorsefold-"));

  constructor() {
    buildSync({
      entryPoints: {
        main: join(root, "src/main.ts"),
        platform: join(root, "test/standin/platform.ts"),
        engine: join(root, "test/standin/engine.ts"),
        service: join(root, "test/standin/service.ts"),
      },
      bundle: true,
      platform: "node",
      target: "node20",
      outdir: this.folder,
      external: ["unix-dgram"],
      logLevel: "error",
    });
  }

  /** Names a file of the run. */
  path(name: string): string {
    return join(this.folder, name);
  }

  /** Starts a program; its output goes to a file. */
  start(name: string, program: Program, args: readonly string[]): RunningProcess {
    return new RunningProcess(
      name,
      [process.execPath, this.path(`${program}.js`), ...args],
      this.path(`${name}.log`),
    );
  }
}

/** A started process. */
export class RunningProcess {
  private readonly child: ChildProcess;
  readonly exited: Promise<number | null>;

  constructor(
    readonly name: string,
    [command = "", ...args]: readonly string[],
    logFile: string,
  ) {
    const output = createWriteStream(logFile, { flags: "a" });
    this.child = spawn(command, args, { stdio: ["ignore", "pipe", "pipe"] });
    this.child.stdout?.pipe(output);
    this.child.stderr?.pipe(output, { end: false });
    this.exited = new Promise((resolve) => {
      this.child.on("exit", (code) => {
        resolve(code);
      });
    });
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal; a stopped process is let go on where it has to end. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.exited;
  }
}

/** Ports below those that the system hands out by itself, in ranges of which a process has one. */
const FIRST_PORT = 10_000;
const PORTS_PER_RANGE = 200;
const RANGES = 100;
let firstPort: Promise<number> | undefined;
let allocatedCount = 0;

/** Finds ports that are free; none is named twice, and no other process of the tests gets them. */
export async function findPorts(count: number): Promise<readonly number[]> {
  firstPort ??= reservePortRange();
  const first = await firstPort;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = first + 1 + (allocatedCount % (PORTS_PER_RANGE - 1));
    allocatedCount += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Takes a range for as long as this process lives, by listening on its first port. */
async function reservePortRange(): Promise<number> {
  for (let attempt = 0; attempt < RANGES; attempt += 1) {
    const first = FIRST_PORT + ((process.pid + attempt) % RANGES) * PORTS_PER_RANGE;
    if (await holdPort(first)) return first;
  }
  throw new Error("no range of ports is free");
}

function holdPort(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.unref();
    server.on("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      resolve(true);
    });
  });
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
