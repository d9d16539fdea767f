/**
 * Structured logging as JSON lines. No line ever contains an API key or a prompt.
 */
import { type DestinationStream, pino } from "pino";
import { BoundedLineWriter, createByteWriter, type LineWriter } from "./lines";

const STDOUT_DESCRIPTOR = 1;
/** Makes pino set the level and message of each line on its destination stream. */
const PINO_METADATA = Symbol.for("pino.metadata");
/** Pino's numeric level of warnings. */
const WARN_LEVEL = 40;

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes structured log lines. Lines that explain a refused or failed request, or a change in the
 * state that the process assumes, are logged as warnings or above, and so are dropped last.
 */
export interface Logger {
  debug(event: string, fields: LogFields): void;
  info(event: string, fields: LogFields): void;
  warn(event: string, fields: LogFields): void;
  error(event: string, fields: LogFields): void;
}

/** Minimum level of the lines that are written. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/**
 * Creates a logger that writes JSON lines to standard output.
 *
 * @param instance - the instance name, written on every line
 * @param level - the minimum level
 * @param lines - the destination of the lines
 * @example
 * createLogger("nizwa-1", "info").info("ready", { version: 7 });
 */
export function createLogger(
  instance: string,
  level: LogLevel,
  lines: LineWriter = new BoundedLineWriter(createByteWriter(STDOUT_DESCRIPTOR)),
): Logger {
  const logger = pino(
    {
      level,
      base: { instance },
      messageKey: "event",
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label.toUpperCase() }) },
    },
    new LineStream(lines),
  );
  const write = (name: LogLevel) => (event: string, fields: LogFields) => {
    logger[name](fields, event);
  };
  return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
}

/**
 * Formats an error that nothing expected, with where it was thrown.
 *
 * @example
 * logger.error("unexpected error", { stack: formatStack(error) });
 */
export function formatStack(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

/** Passes pino's lines to a line writer, with the event name as their kind. */
class LineStream implements DestinationStream {
  readonly [PINO_METADATA] = true;
  /** Set by pino before each line, as is `lastMsg`. */
  lastLevel = 0;
  lastMsg = "";

  constructor(private readonly lines: LineWriter) {}

  write(line: string): void {
    const isDiagnostic = this.lastLevel >= WARN_LEVEL;
    this.lines.write({ text: line.trimEnd(), kind: this.lastMsg, isDiagnostic });
  }
}

/** A logger that discards all lines. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
