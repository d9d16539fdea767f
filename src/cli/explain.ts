/**
 * The commands `gorsefold explain` and `gorsefold causes`: find the cause of a request's end, or count causes in a time
 * range, from log files alone.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { Command, Option, UsageError } from "clipanion";
import * as E from "fp-ts/Either";
import { CauseCounter } from "../explain/cause";
import { type LogLine, parseLine } from "../explain/line";
import { formatCauses, formatTimeline } from "../explain/format";
import { findTimeline } from "../explain/timeline";
import { BaseCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { CommandError } from "./publisher";

/** File argument that means standard input. */
const STANDARD_INPUT_NAME = "-";

/** A command that reads log files. */
abstract class LogFilesCommand extends BaseCommand {
  /** Reads the log lines of files, or of standard input where no file is given; skips other text. */
  protected async readLines(
    files: readonly string[],
    onLine: (line: LogLine) => void,
  ): Promise<E.Either<CommandError, undefined>> {
    const sources = files.length === 0 ? [STANDARD_INPUT_NAME] : files;
    for (const source of sources) {
      const input = source === STANDARD_INPUT_NAME ? this.context.stdin : createReadStream(source);
      const read = await readSource(source, input, onLine);
      if (E.isLeft(read)) return read;
    }
    return E.right(undefined);
  }
}

/** Prints the timeline of one request. */
export class ExplainCommand extends LogFilesCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Show the timeline of a request across instances, from their logs",
    details: "Reads the logs of any number of instances, from files or standard input.",
    examples: [
      ["Explain a request", "$0 explain 7b9aeac52c4352c4 nizwa-1.log nizwa-2.log"],
      ["From standard input, as JSON", "$0 explain 7b9aeac52c4352c4 --json < all.log"],
    ],
  });

  request = Option.String({ required: true, name: "request" });
  files = Option.Rest({ name: "files" });

  async run(): Promise<ExitCode> {
    const lines: LogLine[] = [];
    const read = await this.readLines(this.files, (line) => {
      if (line.request === undefined || line.request === this.request) lines.push(line);
    });
    if (E.isLeft(read)) return this.fail(read.left);
    const timeline = findTimeline(lines, this.request);
    if (timeline === undefined) {
      return this.fail(new CommandError(Exit.invalid, `no line names request ${this.request}`));
    }
    this.print(timeline, formatTimeline(timeline));
    return Exit.done;
  }
}

/** Counts refused, failed and cancelled requests by cause. */
export class CausesCommand extends LogFilesCommand {
  static override paths = [["causes"]];
  static override usage = Command.Usage({
    description: "Count refusals and failures by cause, from the logs of instances",
    examples: [
      ["All lines of the logs", "$0 causes nizwa-1.log nizwa-2.log"],
      ["A time range", "$0 causes --from 2026-01-18T03:21:00Z --to 2026-01-18T03:22:00Z all.log"],
    ],
  });

  from = Option.String("--from", { description: "Start of the time range, inclusive, ISO 8601" });
  to = Option.String("--to", { description: "End of the time range, exclusive, ISO 8601" });
  files = Option.Rest({ name: "files" });

  async run(): Promise<ExitCode> {
    const from = parseTime(this.from, "--from");
    const to = parseTime(this.to, "--to");
    const counter = new CauseCounter(from, to);
    const read = await this.readLines(this.files, (line) => {
      counter.add(line);
    });
    if (E.isLeft(read)) return this.fail(read.left);
    const causes = counter.list();
    this.print(causes, formatCauses(causes));
    return Exit.done;
  }
}

async function readSource(
  name: string,
  input: Readable,
  onLine: (line: LogLine) => void,
): Promise<E.Either<CommandError, undefined>> {
  try {
    for await (const text of createInterface({ input, crlfDelay: Infinity })) {
      const line = parseLine(text);
      if (line !== undefined) onLine(line);
    }
    return E.right(undefined);
  } catch (error) {
    return E.left(new CommandError(Exit.invalid, `${name}: ${(error as Error).message}`));
  }
}

function parseTime(text: string | undefined, option: string): number | undefined {
  if (text === undefined) return undefined;
  const time = Date.parse(text);
  if (Number.isNaN(time)) throw new UsageError(`${option}: ${text} is not an ISO 8601 time`);
  return time;
}
