/**
 * Compares policies in simulated scenarios: prints a table on standard output and draws a plot for each load.
 *
 * Usage: npm run load [-- --seeds 5 --load bursts --policy usual,"early returns" --json]
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Command, Option, runExit, UsageError } from "clipanion";
import { type Scenario, runScenario, type ScenarioResult } from "./play";
import { SCENARIOS, POLICIES } from "./plays";
import { comparePlainPolicies } from "./plainplays";
import { drawPlot } from "./plot";
import type { RouterPolicy } from "./router";

const OUTPUT_DIRECTORY = "measure/out";
const DEFAULT_SEEDS = "5";

/** A row of the table: means over all seeds. */
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
  readonly rejectedPercent: number;
  readonly worstSecond: number;
  readonly onTimeByClass: string;
  readonly onTimeByDataCentre: string;
}

class LoadCommand extends Command {
  static override paths = [Command.Default];

  seeds = Option.String("--seeds", DEFAULT_SEEDS, {
    description: "Number of seeds, which are 1, 2 and so on",
  });
  load = Option.String("--load", { description: "Only these loads, comma-separated" });
  policy = Option.String("--policy", { description: "Only these policies, comma-separated" });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override execute(): Promise<number> {
    const seeds = Number(this.seeds);
    if (!Number.isInteger(seeds) || seeds < 1)
      throw new UsageError("--seeds must be a positive integer");
    const scenarios = selectByName("--load", SCENARIOS, this.load?.split(","));
    const policies = selectByName("--policy", POLICIES, this.policy?.split(","));
    const rows = scenarios.flatMap((scenario) => comparePolicies(scenario, policies, seeds));
    if (this.json) this.context.stdout.write(`${JSON.stringify(rows)}\n`);
    else console.table(rows);
    if (this.load === undefined && this.policy === undefined) this.printPlain(seeds);
    return Promise.resolve(0);
  }

  /** Prints the scenarios of plain services, which have policies of their own. */
  private printPlain(seeds: number): void {
    const rows = comparePlainPolicies(seeds);
    if (this.json) this.context.stdout.write(`${JSON.stringify(rows)}\n`);
    else console.table(rows);
  }
}

void runExit(LoadCommand, process.argv.slice(2));

function selectByName<T extends { readonly name: string }>(
  option: string,
  items: readonly T[],
  names: readonly string[] | undefined,
): readonly T[] {
  if (names === undefined) return items;
  const selected = items.filter((item) => names.includes(item.name));
  if (selected.length === names.length) return selected;
  throw new UsageError(
    `${option}: unknown name; known names are ${items.map((item) => item.name).join(", ")}`,
  );
}

function comparePolicies(
  scenario: Scenario,
  policies: readonly RouterPolicy[],
  seeds: number,
): readonly Row[] {
  const policyResults = policies.map((policy) => ({
    policy,
    results: runSeeds(scenario, policy, seeds),
  }));
  const plotLines = policyResults.flatMap(({ policy, results }) => {
    const [result] = results;
    return result === undefined ? [] : [{ name: policy.name, result }];
  });
  mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
  const file = join(OUTPUT_DIRECTORY, `load-${scenario.name.replaceAll(" ", "-")}.svg`);
  writeFileSync(file, drawPlot(scenario.name, plotLines));
  return policyResults.map(({ policy, results }) => createRow(scenario, policy, results));
}

function runSeeds(
  scenario: Scenario,
  policy: RouterPolicy,
  seeds: number,
): readonly ScenarioResult[] {
  return Array.from({ length: seeds }, (_, index) => runScenario(scenario, policy, index + 1));
}

function createRow(
  scenario: Scenario,
  policy: RouterPolicy,
  results: readonly ScenarioResult[],
): Row {
  const mean = (read: (result: ScenarioResult) => number, digits: number) =>
    Number(
      (results.reduce((sum, result) => sum + read(result), 0) / results.length).toFixed(digits),
    );
  return {
    load: scenario.name,
    policy: policy.name,
    worth: mean((result) => result.worth, 3),
    worstWindow: mean((result) => Math.min(...result.worthByWindow), 3),
    onTime: mean((result) => result.onTime / result.requests, 3),
    late: mean((result) => result.late / result.requests, 3),
    refused: mean((result) => result.refused / result.requests, 3),
    firstP50Ms: mean((result) => result.firstTokenP50Ms, 0),
    firstP99Ms: mean((result) => result.firstTokenP99Ms, 0),
    wastedPercent: mean((result) => result.wastedShare * 100, 1),
    preempted: mean((result) => result.preempted, 1),
    rejectedPercent: mean((result) => result.rejectedShare * 100, 1),
    worstSecond: mean((result) => result.worstSecond, 2),
    onTimeByClass: describeShares(results.map((result) => result.onTimeByClass)),
    onTimeByDataCentre: describeShares(results.map((result) => result.onTimeByDataCentre)),
  };
}

/** Describes the means of shares by name, over all seeds. */
function describeShares(results: readonly ReadonlyMap<string, number>[]): string {
  const names = new Set(results.flatMap((shares) => [...shares.keys()]));
  return [...names]
    .sort()
    .map((name) => {
      const shares = results.flatMap((result) => result.get(name) ?? []);
      return `${name} ${(shares.reduce((sum, share) => sum + share, 0) / shares.length).toFixed(2)}`;
    })
    .join(", ");
}
