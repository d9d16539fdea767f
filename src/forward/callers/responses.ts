/**
 * Writes the responses to callers: refusals, those that are known whole, and streams.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ByteBudget } from "../../core/bytebudget";
import type { Logger } from "../../core/log";
import { Reason, type Refusal } from "../../core/outcome";
import type { StreamSink } from "../generations";
import {
  type BufferedResponse,
  type CallerCodec,
  type Meter,
  RequestStage,
  type StageRecorder,
} from "../requests";
import type { CallerConnections } from "./connections";

/** What shows the end of a response to its caller. */
const CallerFraming = { length: "length", chunks: "chunks", connection: "connection" } as const;
type CallerFraming = (typeof CallerFraming)[keyof typeof CallerFraming];

/** Writes responses, and tells the connections which of them end theirs. */
export class ResponseWriter {
  private streamCount = 0;

  constructor(
    private readonly codec: CallerCodec,
    private readonly connections: CallerConnections,
    private readonly logger: Logger,
    private readonly meter: Meter,
    /** Checks whether the response to a request is the last one on its connection. */
    private readonly isLast: (request: IncomingMessage) => boolean,
    private readonly heldBytes: ByteBudget,
  ) {}

  /** Sends a response that is known whole. */
  send(response: ServerResponse, buffered: BufferedResponse): void {
    if (response.destroyed) return;
    const { head, body, isFramed } = buffered;
    const length = isFramed ? ["content-length", String(body.length)] : [];
    this.writeHead(response, head.status, [...head.headers, ...length], isFramed);
    const lease = this.heldBytes.open("answers to callers");
    // The answer is there, so it is delivered; what is read meanwhile finds less room.
    lease.update(body.length);
    response.once("close", () => {
      lease.close();
    });
    response.end(body);
  }

  /** Refuses a request; it is logged and counted also where its caller has left. */
  refuse(response: ServerResponse, id: string | undefined, refusal: Refusal): void {
    const { status, reason, ran, message } = refusal;
    this.meter.refusals.inc({ reason });
    const retryAfterMs = refusal.retryAfterMs ?? 0;
    const fields = { request: id ?? "", status, reason, ran, message, retryAfterMs };
    if (reason === Reason.cancelled) this.logger.info("cancelled", fields);
    else this.logger.warn("refused", fields);
    if (response.destroyed) return;
    const body = Buffer.from(JSON.stringify({ error: { type: reason, message, outcome: ran } }));
    const headers = [...this.codec.listRefusalHeaders(id, refusal)];
    headers.push("content-type", "application/json", "content-length", String(body.length));
    if (!response.req.complete) headers.push("connection", "close");
    this.writeHead(response, status, headers);
    response.end(body);
  }

  /** Creates the sink through which a stream is sent. */
  createSink(response: ServerResponse, stages: StageRecorder): StreamSink {
    let isUnframed = false;
    const isOver = () => response.destroyed || response.writableEnded;
    this.streamCount += 1;
    const lease = this.heldBytes.open(`stream ${this.streamCount}`);
    response.once("close", () => {
      lease.close();
    });
    const cut = () => {
      if (isOver()) return;
      // A proper close would end an unframed response as whole.
      if (isUnframed) response.socket?.resetAndDestroy();
      response.destroy();
    };
    return {
      begin: (status, headers, isFramed) => {
        if (isOver()) return;
        isUnframed = !isFramed || !hasChunks(response.req);
        stages.enter(RequestStage.stream);
        this.writeHead(response, status, headers, !isUnframed);
        response.flushHeaders();
      },
      write: (bytes) => {
        if (isOver()) return;
        stages.enter(RequestStage.stream);
        response.write(bytes);
        if (lease.tryResize(response.writableLength)) return;
        this.logger.warn("stream cut", { unread: response.writableLength });
        cut();
      },
      end: () => {
        response.end();
      },
      cut,
    };
  }

  /**
   * Writes a response head. The connection closes after an unframed response, as it did between the
   * endpoint and the router.
   */
  private writeHead(
    response: ServerResponse,
    status: number,
    headers: readonly string[],
    isFramed = true,
  ): void {
    response.sendDate = false;
    response.useChunkedEncodingByDefault = isFramed;
    const isLast = this.isLast(response.req);
    if (isLast || !isFramed) response.shouldKeepAlive = false;
    if (!response.shouldKeepAlive) this.connections.markEnding(response.req.socket);
    if (!isFramed) this.connections.markUnframed(response);
    this.meter.callerAnswers.inc({ framing: readFraming(headers, isFramed) });
    response.writeHead(status, [...headers]);
  }
}

/** Checks that a caller's protocol has chunks; HTTP/1.0 has none. */
function hasChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor > 1 || httpVersionMinor > 0;
}

/** Reads what shows the end of a response to its caller. */
function readFraming(headers: readonly string[], isFramed: boolean): CallerFraming {
  if (!isFramed) return CallerFraming.connection;
  const hasLength = headers.some(
    (text, index) => index % 2 === 0 && text.toLowerCase() === "content-length",
  );
  return hasLength ? CallerFraming.length : CallerFraming.chunks;
}
