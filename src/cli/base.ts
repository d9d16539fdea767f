/**
 * Base classes of the commands: output, errors, access to the log, and waiting for a change to be in force.
 */
import { readFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import * as E from "fp-ts/Either";
import type * as t from "io-ts";
import { MS_PER_SECOND } from "../core/clock";
import { type DecodeError, decodeText } from "../core/codec";
import { Exit, type ExitCode } from "./exit";
import { type Fleet, readFleet } from "./fleet";
import { CommandError, type Published, Publisher } from "./publisher";

const WAIT_POLL_INTERVAL_MS = 200;

/** A command that prints text or, with --json, JSON for programs. */
export abstract class BaseCommand extends Command {
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  abstract run(): Promise<ExitCode>;

  override async execute(): Promise<ExitCode> {
    return this.run();
  }

  /** Prints a result: the value as JSON, or the text. */
  protected print(value: unknown, text: string): void {
    this.context.stdout.write(`${this.json ? JSON.stringify(value) : text}\n`);
  }

  /** Prints an error, with --json to standard output, else to standard error; returns its exit code. */
  protected fail(error: CommandError): ExitCode {
    const body = { error: error.message, exit: error.exitCode };
    if (this.json) this.context.stdout.write(`${JSON.stringify(body)}\n`);
    else this.context.stderr.write(`${error.message}\n`);
    return error.exitCode;
  }

  /** Reads a JSON file and validates it with a codec. */
  protected readFile<A>(codec: t.Type<A>, path: string): E.Either<CommandError, A> {
    const text = E.tryCatch(
      () => readFileSync(path, "utf8"),
      (error) => new CommandError(Exit.invalid, `${path}: ${(error as Error).message}`),
    );
    if (E.isLeft(text)) return text;
    const toCommandError = (error: DecodeError) => new CommandError(Exit.invalid, error.message);
    return E.mapLeft(toCommandError)(decodeText(codec, text.right, path));
  }
}

/** A command that reads or writes the platform's log. */
export abstract class LogCommand extends BaseCommand {
  log = Option.String("--log", {
    env: "GORSEFOLD_LOG",
    description: "URL of the platform's log (or GORSEFOLD_LOG)",
  });

  /** Runs an action with a publisher and closes the publisher afterwards. */
  protected async withPublisher(
    action: (publisher: Publisher) => Promise<E.Either<CommandError, ExitCode>>,
  ): Promise<ExitCode> {
    if (this.log === undefined) throw new UsageError("--log or GORSEFOLD_LOG is needed");
    const publisher = new Publisher(this.log);
    const result = await action(publisher);
    await publisher.close();
    return E.isLeft(result) ? this.fail(result.left) : result.right;
  }
}

/** A command that changes the configuration. */
export abstract class ChangeCommand extends LogCommand {
  list = Option.String("--list", {
    env: "GORSEFOLD_LIST",
    description: "URL of the platform's list (or GORSEFOLD_LIST), for --wait",
  });
  wait = Option.String("--wait", {
    description: "Seconds to wait until the change is in force on every listed instance",
  });

  /**
   * Waits, with --wait, until a published change is in force, and prints the result.
   *
   * @param extraFields - further members of the JSON output
   * @param extraText - a further line of the text output
   * @returns the exit code: pending where the change is not in force on every listed instance in time
   */
  protected async reportPublished(
    published: E.Either<CommandError, Published>,
    extraFields: Readonly<Record<string, unknown>> = {},
    extraText = "",
  ): Promise<E.Either<CommandError, ExitCode>> {
    if (E.isLeft(published)) return published;
    const { version, changes } = published.right;
    const behind = await this.waitUntilInForce(version);
    this.print(
      { version, changes, ...extraFields, ...(behind === undefined ? {} : { behind }) },
      [
        changes === 0 ? `nothing to change; version ${version}` : `accepted as version ${version}`,
        ...(extraText === "" ? [] : [extraText]),
        ...(behind === undefined || behind.length === 0
          ? []
          : [`not yet in force on: ${behind.join(", ")}`]),
      ].join("\n"),
    );
    return E.right(behind === undefined || behind.length === 0 ? Exit.done : Exit.pending);
  }

  /** Lists the instances where a version is not in force when the wait ends; undefined without --wait. */
  private async waitUntilInForce(version: number): Promise<readonly string[] | undefined> {
    if (this.wait === undefined) return undefined;
    if (this.list === undefined) throw new UsageError("--wait needs --list");
    const deadline = performance.now() + Number(this.wait) * MS_PER_SECOND;
    for (;;) {
      const fleet = await readFleet(this.list);
      const behind = E.isLeft(fleet)
        ? ["(the list cannot be read)"]
        : listInstancesBehind(fleet.right, version);
      if (behind.length === 0 || performance.now() >= deadline) return behind;
      await new Promise((resolve) => setTimeout(resolve, WAIT_POLL_INTERVAL_MS));
    }
  }
}

function listInstancesBehind(fleet: Fleet, version: number): readonly string[] {
  return fleet.instances
    .filter((instance) => (instance.status?.configVersion ?? -1) < version)
    .map((instance) => instance.name);
}
