/**
 * Ports for tests. Each test process has a range of its own, so that test files can run beside each other.
 */
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** First port of the ranges, which end below the system's ephemeral ports. */
const FIRST_PORT = 10_000;
const PORTS_PER_RANGE = 500;
const RANGES = 40;
/** State of a listening socket in the system's table. */
const LISTENING = 0x0a;

let range: number | undefined;
let allocatedCount = 0;

/**
 * Allocates a port that no other test process uses. No port is returned twice until the range wraps around, after 500
 * ports.
 */
export function allocatePort(): number {
  range ??= reserveRange();
  const port = FIRST_PORT + range * PORTS_PER_RANGE + (allocatedCount % PORTS_PER_RANGE);
  allocatedCount += 1;
  return port;
}

/** Allocates ports of a loopback address at which nothing listens. */
export async function findPorts(count: number, host = "127.0.0.1"): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = allocatePort();
    if (await isFree(port, host)) ports.push(port);
  }
  return ports;
}

/**
 * Reserves a range for the lifetime of this process, in which nobody else listens; the reservation of a process that is
 * gone is void.
 */
function reserveRange(): number {
  const used = listUsedRanges();
  for (let attempt = 0; attempt < RANGES; attempt += 1) {
    const candidate = (process.pid + attempt) % RANGES;
    if (used.has(candidate)) continue;
    const file = join(tmpdir(), `gorsefold-ports-${candidate}`);
    if (!isOwnerGone(file) || !tryWrite(file)) continue;
    process.once("exit", () => {
      rmSync(file, { force: true });
    });
    return candidate;
  }
  throw new Error("no port range is free");
}

/** Lists the ranges in which a program listens that reserves none; empty where the system does not tell. */
function listUsedRanges(): ReadonlySet<number> {
  const sockets = [...readSockets("/proc/net/tcp"), ...readSockets("/proc/net/tcp6")];
  const listening = sockets.filter(({ state }) => state === LISTENING);
  return new Set(listening.map(({ port }) => Math.floor((port - FIRST_PORT) / PORTS_PER_RANGE)));
}

/** Reads the local port and the state of each socket: the second and the fourth field of a line, in hexadecimal. */
function readSockets(file: string): readonly { readonly port: number; readonly state: number }[] {
  try {
    const [, ...lines] = readFileSync(file, "utf8").trim().split("\n");
    return lines.map((line) => {
      const [, local = "", , state = ""] = line.trim().split(/\s+/);
      return { port: parseInt(local.split(":")[1] ?? "", 16), state: parseInt(state, 16) };
    });
  } catch {
    return [];
  }
}

/** Checks whether a reservation has no living owner, and removes it then. */
function isOwnerGone(file: string): boolean {
  try {
    process.kill(Number(readFileSync(file, "utf8")), 0);
    return false;
  } catch {
    rmSync(file, { force: true });
    return true;
  }
}

/** Writes a reservation; returns false if another process was first. */
function tryWrite(file: string): boolean {
  try {
    writeFileSync(file, String(process.pid), { flag: "wx" });
    return true;
  } catch {
    return false;
  }
}

function isFree(port: number, host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
