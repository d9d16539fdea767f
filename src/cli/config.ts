/**
 * The commands `gorsefold config check|publish|show|diff`.
 */
import { Command, Option } from "clipanion";
import * as E from "fp-ts/Either";
import {
  type Configuration,
  createEmptyConfiguration,
  documentCodec,
} from "../core/config/objects";
import { type Change, computeChanges, type ConfigState } from "../core/config/fold";
import { checkReferences } from "../core/config/references";
import { BaseCommand, ChangeCommand, LogCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { CommandError, type Publisher } from "./publisher";

/** Validates a configuration file without publishing it. */
export class ConfigCheckCommand extends BaseCommand {
  static override paths = [["config", "check"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Check a configuration file",
    examples: [["Check a file", "$0 config check examples/cooperative.json"]],
  });

  file = Option.String();

  async run(): Promise<ExitCode> {
    const checked = checkDocument(this.readFile(documentCodec, this.file), this.file);
    if (E.isLeft(checked)) return this.fail(checked.left);
    const counts = Object.entries(checked.right).map(
      ([kind, objects]) => `${Object.keys(objects).length} ${kind}`,
    );
    this.print({ ok: true, file: this.file }, `${this.file}: ok (${counts.join(", ")})`);
    return Exit.done;
  }
}

/** Publishes a configuration file. */
export class ConfigPublishCommand extends ChangeCommand {
  static override paths = [["config", "publish"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Publish a configuration file",
    details:
      "Publishes the differences to the configuration in force. Where another operator's change is accepted first, nothing is published and the exit code is 3. Keys are left unchanged unless the file contains keys.",
    examples: [
      [
        "Publish and wait until it is in force",
        "$0 config publish examples/cooperative.json --wait 10",
      ],
    ],
  });

  file = Option.String();

  run(): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const compared = await compareDocument(
        publisher,
        this.readFile(documentCodec, this.file),
        this.file,
      );
      if (E.isLeft(compared)) return compared;
      const { state, changes } = compared.right;
      return this.reportPublished(await publisher.publish(state, changes));
    });
  }
}

/** Shows the configuration in force. */
export class ConfigShowCommand extends LogCommand {
  static override paths = [["config", "show"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Show the configuration in force",
    examples: [["Show it with its version", "$0 config show --json"]],
  });

  run(): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const state = await publisher.read();
      if (E.isLeft(state)) return state;
      const { version, configuration } = state.right;
      this.print(
        { version, configuration },
        `version ${version}\n${JSON.stringify(configuration, null, 2)}`,
      );
      return E.right(Exit.done);
    });
  }
}

/** Shows what publishing a file would change. */
export class ConfigDiffCommand extends LogCommand {
  static override paths = [["config", "diff"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Show what publishing a file would change",
    examples: [["Compare a file", "$0 config diff examples/cooperative.json"]],
  });

  file = Option.String();

  run(): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const compared = await compareDocument(
        publisher,
        this.readFile(documentCodec, this.file),
        this.file,
      );
      if (E.isLeft(compared)) return compared;
      const { state, changes } = compared.right;
      const { version, configuration } = state;
      const lines = changes.map((change) => formatChange(configuration, change));
      this.print(
        { version, changes },
        lines.length === 0 ? `no difference to version ${version}` : lines.join("\n"),
      );
      return E.right(Exit.done);
    });
  }
}

/** The configuration in force, and the changes that would turn it into that of a file. */
interface DocumentComparison {
  readonly state: ConfigState;
  readonly changes: readonly Change[];
}

async function compareDocument(
  publisher: Publisher,
  file: E.Either<CommandError, Partial<Configuration>>,
  path: string,
): Promise<E.Either<CommandError, DocumentComparison>> {
  const document = checkDocument(file, path);
  if (E.isLeft(document)) return document;
  const state = await publisher.read();
  if (E.isLeft(state)) return state;
  const changes = computeChanges(state.right.configuration, document.right);
  return E.right({ state: state.right, changes });
}

/**
 * Checks the references within a file. A file without keys leaves the published keys unchanged, so its references are
 * checked against an empty set of keys.
 */
function checkDocument(
  file: E.Either<CommandError, Partial<Configuration>>,
  path: string,
): E.Either<CommandError, Partial<Configuration>> {
  if (E.isLeft(file)) return file;
  const checked = checkReferences({ ...createEmptyConfiguration(), ...file.right }, path);
  return E.isLeft(checked) ? E.left(new CommandError(Exit.invalid, checked.left.message)) : file;
}

function formatChange(before: Configuration, change: Change): string {
  const current = before[change.kind][change.name];
  if (change.value === undefined) return `- ${change.kind}.${change.name}`;
  const sign = current === undefined ? "+" : "~";
  return `${sign} ${change.kind}.${change.name}: ${JSON.stringify(change.value)}`;
}
