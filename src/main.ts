/**
 * Entry point of the `gorsefold` command line: registers all commands and runs the one that was called.
 */
import { Builtins, Cli } from "clipanion";
import {
  ConfigCheckCommand,
  ConfigDiffCommand,
  ConfigPublishCommand,
  ConfigShowCommand,
} from "./cli/config";
import { EvacuateCommand } from "./cli/evacuate";
import { CausesCommand, ExplainCommand } from "./cli/explain";
import { KeyCreateCommand, KeyListCommand, KeyWithdrawCommand } from "./cli/key";
import { createObjectCommands, LabelRemoveCommand, LabelSetCommand } from "./cli/object";
import { ServeCommand } from "./cli/serve";
import { StatusCommand } from "./cli/status";
import { version } from "../package.json";

const cli = new Cli({ binaryLabel: "gorsefold", binaryName: "gorsefold", binaryVersion: version });
const commands = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ServeCommand,
  ConfigCheckCommand,
  ConfigPublishCommand,
  ConfigShowCommand,
  ConfigDiffCommand,
  KeyCreateCommand,
  KeyWithdrawCommand,
  KeyListCommand,
  LabelSetCommand,
  LabelRemoveCommand,
  EvacuateCommand,
  StatusCommand,
  ExplainCommand,
  CausesCommand,
  ...createObjectCommands(),
];
for (const command of commands) cli.register(command);
void cli.runExit(process.argv.slice(2));
