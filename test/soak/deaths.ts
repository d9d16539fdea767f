/**
 * How the process of an engine dies amid its streams, and how it is back.
 */
import type { Random } from "./random";

/** How the connections of a process that dies end. */
export const DeathBy = { fin: "FIN", rst: "RST" } as const;
export type DeathBy = (typeof DeathBy)[keyof typeof DeathBy];

/** The end of an engine's process, and the start of its next one. */
export interface EngineDeath {
  readonly by: DeathBy;
  /** How long no process is there, in milliseconds. */
  readonly downMs: number;
  readonly version: string;
  /** How long the next process serves before it is listed, in milliseconds. */
  readonly entryDelayMs: number;
}

const DOWN_MS = [0, 20, 400];
const VERSIONS = ["v1", "v2"];
const ENTRY_DELAYS_MS = [0, 0, 100, 700];
const PATTERN = /^(FIN|RST), (\d+) ms, (\w+), listed after (\d+) ms$/;

/**
 * Draws a death.
 *
 * @example
 * drawDeath(new Random(7)).by; // "FIN"
 */
export function drawDeath(random: Random): EngineDeath {
  return {
    by: random.choose(Object.values(DeathBy)),
    downMs: random.choose(DOWN_MS),
    version: random.choose(VERSIONS),
    entryDelayMs: random.choose(ENTRY_DELAYS_MS),
  };
}

/**
 * Describes a death, as a schedule names it.
 *
 * @example
 * describeDeath(death); // "FIN, 20 ms, v2, listed after 0 ms"
 */
export function describeDeath({ by, downMs, version, entryDelayMs }: EngineDeath): string {
  return `${by}, ${downMs} ms, ${version}, listed after ${entryDelayMs} ms`;
}

/**
 * Reads the description of a death.
 *
 * @example
 * readDeath("FIN, 20 ms, v2, listed after 0 ms").downMs; // 20
 */
export function readDeath(text: string): EngineDeath {
  const match = PATTERN.exec(text);
  if (match === null) throw new Error(`no death: ${text}`);
  const [, by, downMs, version = "", entryDelayMs] = match;
  return {
    by: by === DeathBy.fin ? DeathBy.fin : DeathBy.rst,
    downMs: Number(downMs),
    version,
    entryDelayMs: Number(entryDelayMs),
  };
}
