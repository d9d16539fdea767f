/**
 * Compares policies on modelled engines: a table on standard output, a plot a load.
 *
 * Usage: npm run load [-- --seeds 5 --load bursts --policy usual,"spread returns" --json]
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Command, Option, runExit, UsageError } from "clipanion";
import { type PlayFigures, playLoad, type PlayResult } from "./play";
import { PLAYS, POLICIES } from "./plays";
import { drawPlot } from "./plot";
import type { RouterPolicy } from "./router";

const OUTPUT = "measure/out";
const DEFAULT_SEEDS = "5";

/** A row of the table: the mean over all seeds. */
interface Row {
  readonly load: string;
  readonly policy: string;
  readonly worth: number;
  readonly worstWindow: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  readonly wastedPercent: number;
  readonly preempted: number;
}

class LoadCommand extends Command {
  static override paths = [Command.Default];

  seeds = Option.String("--seeds", DEFAULT_SEEDS, { description: "How many seeds, from 1 on" });
  load = Option.String("--load", { description: "Only this load" });
  policy = Option.String("--policy", { description: "Only these policies, by commas" });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override execute(): Promise<number> {
    const seeds = Number(this.seeds);
    if (!Number.isInteger(seeds) || seeds < 1) throw new UsageError("--seeds: a count from 1 on");
    const plays = pick("--load", PLAYS, this.load?.split(","));
    const policies = pick("--policy", POLICIES, this.policy?.split(","));
    const rows = plays.flatMap((play) => comparePolicies(play, policies, seeds));
    if (this.json) this.context.stdout.write(`${JSON.stringify(rows)}\n`);
    else console.table(rows);
    return Promise.resolve(0);
  }
}

void runExit(LoadCommand, process.argv.slice(2));

function pick<T extends { readonly name: string }>(
  option: string,
  items: readonly T[],
  names: readonly string[] | undefined,
): readonly T[] {
  if (names === undefined) return items;
  const picked = items.filter((item) => names.includes(item.name));
  if (picked.length === names.length) return picked;
  throw new UsageError(`${option}: known are ${items.map((item) => item.name).join(", ")}`);
}

function comparePolicies(
  play: PlayFigures,
  policies: readonly RouterPolicy[],
  seeds: number,
): readonly Row[] {
  const lines = policies.map((policy) => ({ policy, results: playSeeds(play, policy, seeds) }));
  const plotted = lines.flatMap(({ policy, results }) => {
    const [result] = results;
    return result === undefined ? [] : [{ name: policy.name, result }];
  });
  mkdirSync(OUTPUT, { recursive: true });
  const file = join(OUTPUT, `load-${play.name.replaceAll(" ", "-")}.svg`);
  writeFileSync(file, drawPlot(play.name, plotted));
  return lines.map(({ policy, results }) => createRow(play, policy, results));
}

function playSeeds(play: PlayFigures, policy: RouterPolicy, seeds: number): readonly PlayResult[] {
  return Array.from({ length: seeds }, (_, index) => playLoad(play, policy, index + 1));
}

function createRow(play: PlayFigures, policy: RouterPolicy, results: readonly PlayResult[]): Row {
  const mean = (read: (result: PlayResult) => number, digits: number) =>
    Number(
      (results.reduce((sum, result) => sum + read(result), 0) / results.length).toFixed(digits),
    );
  return {
    load: play.name,
    policy: policy.name,
    worth: mean((result) => result.worth, 3),
    worstWindow: mean((result) => Math.min(...result.windows), 3),
    onTime: mean((result) => result.onTime / result.asked, 3),
    late: mean((result) => result.late / result.asked, 3),
    refused: mean((result) => result.refused / result.asked, 3),
    firstP50Ms: mean((result) => result.firstP50Ms, 0),
    firstP99Ms: mean((result) => result.firstP99Ms, 0),
    wastedPercent: mean((result) => result.wastedShare * 100, 1),
    preempted: mean((result) => result.preempted, 1),
  };
}
