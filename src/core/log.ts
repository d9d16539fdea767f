/**
 * Structured log lines. No line ever holds a key or a prompt.
 */
import { Logger as TsLogger } from "tslog";
import { BoundedLineWriter, createByteWriter, type LineWriter } from "./lines";

const STANDARD_OUTPUT = 1;

/** Members of one line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes structured lines. */
export interface Logger {
  debug(event: string, fields: LogFields): void;
  info(event: string, fields: LogFields): void;
  warn(event: string, fields: LogFields): void;
  error(event: string, fields: LogFields): void;
}

const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** A level below which lines are left out. */
export type LogLevel = keyof typeof LEVELS;

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
  const logger = new TsLogger<LogFields>({
    type: "hidden",
    minLevel: LEVELS[level],
    hideLogPositionForProduction: true,
  });
  logger.attachTransport((line) => {
    const { _meta: meta, ...fields } = line;
    const head = { time: meta?.date.toISOString(), level: meta?.logLevelName, instance };
    lines.write(JSON.stringify({ ...head, ...fields }));
  });
  const write = (name: LogLevel) => (event: string, fields: LogFields) => {
    logger[name]({ event, ...fields });
  };
  return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
}

/** Writes nothing. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
