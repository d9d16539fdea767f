/**
 * Client of the platform's append-only log service, which keeps streams of JSON records with
 * offsets.
 */
import * as E from "fp-ts/Either";
import * as TE from "fp-ts/TaskEither";
import * as t from "io-ts";
import { decodeValue } from "../core/codec";
import type { BrokenAnswerListener } from "./brokenanswer";
import { createSender, type Sender } from "./http";

/** Timeout of an append, or of a read that does not wait for records. */
const CALL_TIMEOUT_MS = 2000;
/** Time that a long poll may take beyond its wait. */
const LONG_POLL_SLACK_MS = 1000;

/** The log streams that the router reads and writes. */
export const StreamName = {
  /** Configuration and duties, in one stream so that all their records have one order. */
  control: "control",
  /** Claims on calls that may run at most once. */
  claims: "claims",
} as const;
export type StreamName = (typeof StreamName)[keyof typeof StreamName];

/** Whether a failed call to the log may have taken effect. */
export const LogFault = {
  /** The log rejected the call or cannot have received it, or its response could not be decoded. */
  refused: "refused",
  /** The call may have taken effect. */
  unknown: "unknown",
} as const;
export type LogFault = (typeof LogFault)[keyof typeof LogFault];

/** A failed call to the log. */
export class LogError extends Error {
  override readonly name = "LogError";

  constructor(
    readonly fault: LogFault,
    message: string,
  ) {
    super(message);
  }
}

const pageCodec = t.type({
  records: t.array(t.type({ offset: t.number, record: t.unknown })),
  /** The offset to read from next. */
  next: t.number,
  /** The lowest offset that is still kept. */
  earliest: t.number,
  /** The offset that the next append gets. */
  end: t.number,
});

/** Records of a stream, in offset order. */
export type LogPage = t.TypeOf<typeof pageCodec>;

/** A record to append; its identifier makes appending it idempotent. */
export interface Appendable {
  readonly id: string;
}

/** Client of the log service. */
export interface LogClient {
  /** Appends records in one call; the append may have taken effect even where the call fails. */
  append(stream: StreamName, records: readonly Appendable[]): TE.TaskEither<LogError, void>;
  /**
   * Reads records from an offset onwards, waiting up to `waitMs` milliseconds for the first one.
   */
  read(stream: StreamName, from: number, waitMs: number): TE.TaskEither<LogError, LogPage>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Client of the log service over HTTP. */
export class HttpLogClient implements LogClient {
  private readonly sender: Sender;

  /** @param onBroken - called with each answer that is broken */
  constructor(
    private readonly url: string,
    onBroken?: BrokenAnswerListener,
  ) {
    this.sender = createSender(onBroken);
  }

  append(stream: StreamName, records: readonly Appendable[]): TE.TaskEither<LogError, void> {
    return async () => {
      const result = await this.sender.sendJson({
        method: "POST",
        url: `${this.url}/streams/${stream}/records`,
        body: { records },
        timeoutMs: CALL_TIMEOUT_MS,
      })();
      if (E.isLeft(result)) {
        const fault = result.left.isSent ? LogFault.unknown : LogFault.refused;
        return E.left(new LogError(fault, result.left.message));
      }
      if (result.right.status === 200) return E.right(undefined);
      return E.left(new LogError(LogFault.unknown, `the log answered ${result.right.status}`));
    };
  }

  read(stream: StreamName, from: number, waitMs: number): TE.TaskEither<LogError, LogPage> {
    return async () => {
      const result = await this.sender.sendJson({
        method: "GET",
        url: `${this.url}/streams/${stream}/records?from=${from}&wait=${waitMs}`,
        timeoutMs: waitMs === 0 ? CALL_TIMEOUT_MS : waitMs + LONG_POLL_SLACK_MS,
      })();
      if (E.isLeft(result)) return E.left(new LogError(LogFault.unknown, result.left.message));
      if (result.right.status !== 200) {
        return E.left(new LogError(LogFault.refused, `the log answered ${result.right.status}`));
      }
      const page = decodeValue(pageCodec, result.right.body, "log");
      if (E.isLeft(page)) return E.left(new LogError(LogFault.refused, page.left.message));
      return page;
    };
  }

  close(): Promise<void> {
    return this.sender.close();
  }
}
