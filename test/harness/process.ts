/**
 * Starts the router and the stand-ins as child processes, from bundles that are built once per run.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdtempSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSync } from "esbuild";

/** A bundle that can be started. */
export type Program = "main" | "platform" | "engine" | "service";

const root = join(__dirname, "../..");

/** Temporary directory of one run, with bundles, settings, logs and history. */
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

  /** Returns the path of a file in the directory. */
  path(name: string): string {
    return join(this.folder, name);
  }

  /** Starts a program whose output is appended to the file `NAME.log`. */
  start(name: string, program: Program, args: readonly string[]): RunningProcess {
    return new RunningProcess(
      name,
      [process.execPath, this.path(`${program}.js`), ...args],
      this.path(`${name}.log`),
    );
  }
}

/** A child process whose output goes to a file. */
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

  /** Sends a signal if the process is running. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Sends SIGKILL, which also ends a process stopped by SIGSTOP, and waits for the exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.exited;
  }
}

/** First port of the ranges; below the system's ephemeral ports. Each test process reserves one range. */
const FIRST_PORT = 10_000;
const PORTS_PER_RANGE = 200;
const RANGES = 100;
let firstPort: Promise<number> | undefined;
let allocatedCount = 0;

/**
 * Finds free ports in the range of this process, which no other test process uses. No port is returned twice until the
 * range wraps around, after 199 ports.
 */
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

/** Reserves a range for the lifetime of this process by listening on its first port. */
async function reservePortRange(): Promise<number> {
  for (let attempt = 0; attempt < RANGES; attempt += 1) {
    const first = FIRST_PORT + ((process.pid + attempt) % RANGES) * PORTS_PER_RANGE;
    if (await holdPort(first)) return first;
  }
  throw new Error("no port range is free");
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
