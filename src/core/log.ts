/**
 * Structured log lines. No line ever holds a key or a prompt.
 */
import { type DestinationStream, pino } from "pino";
import { BoundedLineWriter, createByteWriter, type LineWriter } from "./lines";

const STANDARD_OUTPUT = 1;
/** Makes pino leave the level and message of a line on its destination. */
const PINO_METADATA = Symbol.for("pino.metadata");
/** Pino's number of the level of warnings. */
const WARN_LEVEL = 40;

/** Members of one line. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes structured lines. What explains a refused or failed request, or a change of what the process
 * believes, is a warning: these are dropped last.
 */
export interface Logger {
  debug(event: string, fields: LogFields): void;
  info(event: string, fields: LogFields): void;
  warn(event: string, fields: LogFields): void;
  error(event: string, fields: LogFields): void;
}

/** A level below which lines are left out. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/**
 * Creates a logger that writes JSON lines to standard output.
 *
 * @param instance - the name that each line carries
 * @example
 * createLogger("nizwa-1", "info").info("ready", { version: 7 });
 */
export function createLogger(
  instance: string,
  level: LogLevel,
  lines: LineWriter = new BoundedLineWriter(createByteWriter(STANDARD_OUTPUT)),
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

/** Passes pino's lines on with their kind. */
class LineStream implements DestinationStream {
  readonly [PINO_METADATA] = true;
  /** Set by pino before each line. */
  lastLevel = 0;
  lastMsg = "";

  constructor(private readonly lines: LineWriter) {}

  write(line: string): void {
    const isDiagnostic = this.lastLevel >= WARN_LEVEL;
    this.lines.write({ text: line.trimEnd(), kind: this.lastMsg, isDiagnostic });
  }
}

/** Writes nothing. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
