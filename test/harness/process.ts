/**
 * Starts the router and the stand-ins as child processes, from bundles that are built once per run.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdtempSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSync } from "esbuild";
import { pause } from "../../src/core/clock";

/** A bundle that can be started. */
export type Program = "main" | "platform" | "engine" | "service";

const LISTEN_TIMEOUT_MS = 15_000;
const LISTEN_CHECK_INTERVAL_MS = 10;

const root = join(__dirname, "../..");

/** Environment variable that names the folder in which the directories of runs are created. */
const RUNS_FOLDER_VARIABLE = "GORSEFOLD_RUNS_FOLDER";

/**
 * Directory of one run, with bundles, settings, logs and history. It outlasts the run; it is created in the system's
 * folder for temporary files, or in the existing one that `GORSEFOLD_RUNS_FOLDER` names.
 */
export class RunDirectory {
  readonly folder = mkdtempSync(join(process.env[RUNS_FOLDER_VARIABLE] ?? tmpdir(), "gorsefold-"));

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

/** Signals by which the harness ends a process. */
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(["SIGKILL", "SIGTERM", "SIGINT"]);

/** A child process whose output goes to a file. */
export class RunningProcess {
  private readonly child: ChildProcess;
  /** True once the harness has sent a signal that ends the process. */
  private isEndedByHarness = false;
  private endedAt: Date | undefined;
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
        this.endedAt = new Date();
        resolve(code);
      });
    });
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal if the process is running. */
  signal(signal: NodeJS.Signals): void {
    if (!this.isRunning) return;
    if (ENDING_SIGNALS.has(signal)) this.isEndedByHarness = true;
    this.child.kill(signal);
  }

  /** Waits until the process accepts connections at a port of the loopback interface, has ended, or takes too long. */
  async waitUntilListening(port: number): Promise<void> {
    const end = performance.now() + LISTEN_TIMEOUT_MS;
    while (this.isRunning && performance.now() < end) {
      if (await canConnect(port)) return;
      await pause(LISTEN_CHECK_INTERVAL_MS);
    }
  }

  /** Describes how the process ended if it did so by itself or by a signal from outside the harness. */
  describeStrayEnd(): string | undefined {
    if (this.isRunning || this.isEndedByHarness) return undefined;
    const { pid, exitCode, signalCode } = this.child;
    const cause = signalCode ?? `exit code ${exitCode}`;
    return `${this.name}, pid ${pid}, ended by ${cause} at ${this.endedAt?.toISOString()}`;
  }

  /** Sends SIGKILL, which also ends a process stopped by SIGSTOP, and waits for the exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.exited;
  }
}

function canConnect(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    socket.on("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.on("error", () => {
      resolve(false);
    });
  });
}
