/**
 * Models machines that differ in speed, some of which have spells in which all work takes far longer.
 */
import type { Random } from "./arrivals";
import type { Machine } from "./engine";

/** The machines of a scenario, by the number of an engine within its stage. */
export interface MachineParameters {
  /** Data centres that the machines are spread over in turn. */
  readonly dataCentres: readonly string[];
  /** How long work takes on a machine, as multiples of the usual time that recur in turn. */
  readonly slowness: readonly number[];
  readonly noise: Noise;
}

/** Spells of a slow machine. */
export interface Noise {
  /** How much longer work takes in a spell. */
  readonly factor: number;
  /** Mean time between the ends and the beginnings of spells, in milliseconds. */
  readonly everyMs: number;
  /** Mean length of a spell, in milliseconds. */
  readonly meanMs: number;
  /** Share of the machines that have spells. */
  readonly share: number;
}

/**
 * Creates the machine of an engine, with its spells up to a time.
 *
 * @param endMs - until when there are spells, in milliseconds of virtual time
 * @example
 * createMachine(parameters, 0, 60_000, createRandom(7)).readSlowness(0); // 0.55
 */
export function createMachine(
  { dataCentres, slowness, noise }: MachineParameters,
  index: number,
  endMs: number,
  random: Random,
): Machine {
  const own = slowness[index % slowness.length] ?? 1;
  const spells = random() < noise.share ? createSpells(noise, endMs, random) : [];
  return {
    dataCentre: dataCentres[index % dataCentres.length],
    readSlowness: (now) => {
      const isSlow = spells.some(({ startMs, stopMs }) => now >= startMs && now < stopMs);
      return isSlow ? own * noise.factor : own;
    },
  };
}

function createSpells({ everyMs, meanMs }: Noise, endMs: number, random: Random) {
  const spells: { readonly startMs: number; readonly stopMs: number }[] = [];
  const sample = (mean: number) => -Math.log(1 - random()) * mean;
  for (let startMs = sample(everyMs); startMs < endMs;) {
    const stopMs = startMs + sample(meanMs);
    spells.push({ startMs, stopMs });
    startMs = stopMs + sample(everyMs);
  }
  return spells;
}
