/**
 * The command `gorsefold serve`.
 */
import { Command, Option } from "clipanion";
import * as E from "fp-ts/Either";
import * as TE from "fp-ts/TaskEither";
import { settingsCodec } from "../core/settings";
import { createInstance } from "../instance";
import { BaseCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { CommandError } from "./publisher";

/** Runs an entry instance until SIGTERM or SIGINT, then shuts it down. */
export class ServeCommand extends BaseCommand {
  static override paths = [["serve"]];
  static override usage = Command.Usage({
    description: "Run an entry instance",
    details: "Runs until SIGTERM or SIGINT, then drains: every accepted request is answered first.",
    examples: [["Run with settings", "$0 serve --settings examples/settings.json"]],
  });

  settings = Option.String("--settings", { required: true, description: "JSON file of settings" });

  async run(): Promise<ExitCode> {
    const settings = this.readFile(settingsCodec, this.settings);
    if (E.isLeft(settings)) return this.fail(settings.left);
    const instance = await TE.tryCatch(
      () => createInstance(settings.right),
      (error) => new CommandError(Exit.invalid, `cannot start: ${(error as Error).message}`),
    )();
    if (E.isLeft(instance)) return this.fail(instance.left);
    await waitForSignal();
    await instance.right.close();
    return Exit.done;
  }
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => {
      resolve();
    });
    process.once("SIGINT", () => {
      resolve();
    });
  });
}
