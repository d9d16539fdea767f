/**
 * The command `gorsefold status`.
 */
import { Command, Option, UsageError } from "clipanion";
import * as E from "fp-ts/Either";
import { BaseCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { type FleetInstance, readFleet } from "./fleet";

/** Shows the status of all listed instances and endpoints. */
export class StatusCommand extends BaseCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show the status of the fleet",
    examples: [["Show it", "$0 status --list http://127.0.0.1:7400"]],
  });

  list = Option.String("--list", {
    env: "GORSEFOLD_LIST",
    description: "URL of the platform's list (or GORSEFOLD_LIST)",
  });

  async run(): Promise<ExitCode> {
    if (this.list === undefined) throw new UsageError("--list or GORSEFOLD_LIST is needed");
    const fleet = await readFleet(this.list);
    if (E.isLeft(fleet)) return this.fail(fleet.left);
    const { instances, endpoints } = fleet.right;
    const lines = [
      ...formatEvacuations(instances),
      ...instances.map(formatInstance),
      ...endpoints.map((entry) => `${entry.name}  ${entry.dataCentre}  endpoint  ${entry.state}`),
    ];
    this.print(fleet.right, lines.join("\n"));
    return Exit.done;
  }
}

/** Says for each evacuated data centre which of the instances that answer know it. */
function formatEvacuations(instances: readonly FleetInstance[]): readonly string[] {
  const answers = instances.flatMap(({ status }) => status ?? []);
  const names = new Set(answers.flatMap(({ evacuated }) => evacuated ?? []));
  return [...names].sort().map((name) => {
    const known = answers.filter(({ evacuated }) => evacuated?.includes(name) === true);
    return `${name}  evacuated  in force on ${known.length} of ${instances.length} instances`;
  });
}

function formatInstance(instance: FleetInstance): string {
  const { name, dataCentre, state, status } = instance;
  if (status === undefined) return `${name}  ${dataCentre}  ${state}  no answer`;
  const readiness = status.isDraining ? "draining" : status.isReady ? "ready" : "not ready";
  const duties = status.duties.length === 0 ? "" : `  ${status.duties.join(", ")}`;
  return `${name}  ${dataCentre}  ${readiness}  version ${status.configVersion}  ${status.requests} requests${duties}`;
}
