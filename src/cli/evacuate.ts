/**
 * The command `gorsefold evacuate ZONE [--back]`.
 */
import { Command, Option } from "clipanion";
import * as E from "fp-ts/Either";
import type { Change } from "../core/config/fold";
import type { Configuration, DataCentre } from "../core/config/objects";
import { ChangeCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { CommandError } from "./publisher";

/** Evacuates a data centre, or withdraws its evacuation. */
export class EvacuateCommand extends ChangeCommand {
  static override paths = [["evacuate"]];
  static override usage = Command.Usage({
    category: "Data centres",
    description: "Send nothing more to the endpoints of a data centre, until it is withdrawn",
    details: "Running work goes on to its end. With --back the data centre is used again.",
    examples: [
      ["Evacuate a data centre", "$0 evacuate nizwa --wait 10"],
      ["Use it again", "$0 evacuate nizwa --back"],
    ],
  });

  dataCentre = Option.String({ name: "ZONE" });
  back = Option.Boolean("--back", false, { description: "Withdraw the evacuation" });

  run(): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const published = await publisher.publishRebased((configuration) =>
        createEvacuationChanges(configuration, this.dataCentre, !this.back),
      );
      return this.reportPublished(published);
    });
  }
}

/**
 * Creates the change that evacuates a data centre, or withdraws its evacuation; none if it is so already.
 *
 * @example
 * createEvacuationChanges(configuration, "nizwa", true);
 */
export function createEvacuationChanges(
  configuration: Configuration,
  name: string,
  isEvacuated: boolean,
): E.Either<CommandError, readonly Change[]> {
  const { dataCentres } = configuration;
  const current = Object.hasOwn(dataCentres, name) ? dataCentres[name] : undefined;
  if (current === undefined) {
    return E.left(new CommandError(Exit.invalid, `there is no data-centre "${name}"`));
  }
  if ((current.evacuated === true) === isEvacuated) return E.right([]);
  const { region } = current;
  const value: DataCentre = {
    ...(region === undefined ? {} : { region }),
    ...(isEvacuated ? { evacuated: true } : {}),
  };
  return E.right([{ kind: "dataCentres", name, value }]);
}
