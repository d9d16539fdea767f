/**
 * Commands for the objects of the configuration: `gorsefold workspace|class|route|model|endpoint|
 * selector|data-centre list|set|remove` and `gorsefold label set|remove`.
 */
import { Command, Option } from "clipanion";
import * as E from "fp-ts/Either";
import type { Configuration, ObjectKind } from "../core/config/objects";
import type { Selector } from "../core/labels";
import { ChangeCommand, LogCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { CommandError } from "./publisher";

/** The object kinds that have their own commands, by their name on the command line. */
const KINDS_BY_WORD = {
  workspace: "workspaces",
  class: "classes",
  route: "routes",
  model: "models",
  endpoint: "endpoints",
  selector: "selectors",
  "data-centre": "dataCentres",
} as const satisfies Record<string, ObjectKind>;

/** Example arguments of the set commands, shown in their help. */
const SET_EXAMPLES: Readonly<Record<string, string>> = {
  workspace: `bahla-fort '{"rate":2000,"burst":8000,"classes":["patient"]}'`,
  class: `urgent '{"weight":4,"firstTokenMs":1100,"betweenTokensMs":60,"patienceMs":10000}'`,
  route: `sheets '{"path":"/sheets","kind":"service","service":"sheets","repeatable":true}'`,
  model: `drafter '{"labels":{"tier":"large"}}'`,
  endpoint: `decode-1 '{"url":"http://10.0.0.7:8000","dataCentre":"nizwa","role":"decode","models":["drafter"]}'`,
  selector: "near region=nizwa,bahla",
  "data-centre": `nizwa '{"region":"dakhiliyah"}'`,
};

/**
 * Creates the list, set and remove commands of every object kind.
 *
 * @example
 * for (const command of createObjectCommands()) cli.register(command);
 */
export function createObjectCommands(): readonly (new () => Command)[] {
  return Object.entries(KINDS_BY_WORD).flatMap(([word, kind]) => [
    createListCommand(word, kind),
    createSetCommand(word, kind),
    createRemoveCommand(word, kind),
  ]);
}

/** Sets labels of a model or an endpoint. */
export class LabelSetCommand extends ChangeCommand {
  static override paths = [["label", "set"]];
  static override usage = Command.Usage({
    category: "Labels",
    description: "Set labels of a model or an endpoint",
    examples: [["Label an endpoint", "$0 label set endpoint decode-1 tier=large"]],
  });

  kind = Option.String();
  name = Option.String();
  labels = Option.Rest({ required: 1 });

  run(): Promise<ExitCode> {
    const added = Object.fromEntries(this.labels.map((label) => splitKeyValue(label)));
    return this.changeLabels((labels) => ({ ...labels, ...added }));
  }

  protected changeLabels(
    compute: (labels: Readonly<Record<string, string>>) => Readonly<Record<string, string>>,
  ): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const published = await publisher.publishRebased((configuration) => {
        const kind = this.kind === "model" ? "models" : "endpoints";
        const current = configuration[kind][this.name];
        if (current === undefined)
          return E.left(new CommandError(Exit.invalid, `there is no ${this.kind} "${this.name}"`));
        return E.right([
          { kind, name: this.name, value: { ...current, labels: compute(current.labels ?? {}) } },
        ]);
      });
      return this.reportPublished(published);
    });
  }
}

/** Removes labels of a model or an endpoint. */
export class LabelRemoveCommand extends LabelSetCommand {
  static override paths = [["label", "remove"]];
  static override usage = Command.Usage({
    category: "Labels",
    description: "Remove labels of a model or an endpoint",
    examples: [["Remove a label", "$0 label remove endpoint decode-1 tier"]],
  });

  override run(): Promise<ExitCode> {
    return this.changeLabels((labels) =>
      Object.fromEntries(Object.entries(labels).filter(([name]) => !this.labels.includes(name))),
    );
  }
}

/**
 * Parses a selector from arguments of the form `name=value,value`: label names with their allowed values.
 *
 * @example
 * parseSelector(["region=nizwa,bahla"]); // { region: ["nizwa", "bahla"] }
 */
export function parseSelector(parts: readonly string[]): Selector {
  return Object.fromEntries(
    parts.map((part) => {
      const [name, values] = splitKeyValue(part);
      return [name, values.split(",")];
    }),
  );
}

function createListCommand(word: string, kind: ObjectKind): new () => Command {
  return class extends LogCommand {
    static override paths = [[word, "list"]];
    static override usage = Command.Usage({
      category: "Objects",
      description: `List each ${word}`,
      examples: [["List them", `$0 ${word} list`]],
    });

    run(): Promise<ExitCode> {
      return this.withPublisher(async (publisher) => {
        const state = await publisher.read();
        if (E.isLeft(state)) return state;
        const objects = state.right.configuration[kind];
        const lines = Object.entries(objects).map(
          ([name, value]) => `${name}  ${JSON.stringify(value)}`,
        );
        this.print(objects, lines.join("\n"));
        return E.right(Exit.done);
      });
    }
  };
}

function createSetCommand(word: string, kind: ObjectKind): new () => Command {
  return class extends ChangeCommand {
    static override paths = [[word, "set"]];
    static override usage = Command.Usage({
      category: "Objects",
      description: `Create or replace a ${word}`,
      examples: [["Set one", `$0 ${word} set ${SET_EXAMPLES[word] ?? ""}`]],
    });

    name = Option.String();
    value = Option.Rest({ required: 1 });

    run(): Promise<ExitCode> {
      return this.withPublisher(async (publisher) => {
        const value =
          kind === "selectors"
            ? E.right(parseSelector(this.value))
            : parseValue(this.value.join(" "));
        if (E.isLeft(value)) return value;
        const published = await publisher.publishRebased(() =>
          E.right([{ kind, name: this.name, value: value.right }]),
        );
        return this.reportPublished(published);
      });
    }
  };
}

function createRemoveCommand(word: string, kind: ObjectKind): new () => Command {
  return class extends ChangeCommand {
    static override paths = [[word, "remove"]];
    static override usage = Command.Usage({
      category: "Objects",
      description: `Remove a ${word}`,
      examples: [["Remove one", `$0 ${word} remove NAME`]],
    });

    name = Option.String();

    run(): Promise<ExitCode> {
      return this.withPublisher(async (publisher) => {
        const published = await publisher.publishRebased((configuration: Configuration) =>
          Object.hasOwn(configuration[kind], this.name)
            ? E.right([{ kind, name: this.name }])
            : E.left(new CommandError(Exit.invalid, `there is no ${word} "${this.name}"`)),
        );
        return this.reportPublished(published);
      });
    }
  };
}

function parseValue(text: string): E.Either<CommandError, unknown> {
  return E.tryCatch(
    () => JSON.parse(text) as unknown,
    (error) => new CommandError(Exit.invalid, `the value is not JSON: ${(error as Error).message}`),
  );
}

function splitKeyValue(text: string): readonly [string, string] {
  const separator = text.indexOf("=");
  return separator < 0 ? [text, ""] : [text.slice(0, separator), text.slice(separator + 1)];
}
