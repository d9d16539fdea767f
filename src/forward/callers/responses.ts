/**
 * Writes the responses to callers: refusals, those that are known whole, and streams. Each shows its end by a length,
 * chunks or its head alone, so that an end of this process amid one can't look like its own.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ByteBudget, ByteLease } from "../../core/bytebudget";
import type { Logger } from "../../core/log";
import { createUnknownRefusal, Reason, type Refusal } from "../../core/outcome";
import type { StreamSink } from "../generations";
import {
  type BufferedResponse,
  type CallerCodec,
  type Meter,
  RequestStage,
  type StageRecorder,
} from "../requests";
import type { CallerAnswerLog } from "./answerlog";
import { CollectedStream } from "./collected";
import type { CallerConnections } from "./connections";
import { CallerFraming, decideFraming } from "./framing";

/** The head of a response, and what shows its end. */
interface FramedHead {
  readonly status: number;
  readonly headers: readonly string[];
  readonly framing: CallerFraming;
}

/** Writes responses, and tells the connections which of them end theirs. */
export class ResponseWriter {
  private streamCount = 0;

  constructor(
    private readonly codec: CallerCodec,
    private readonly connections: CallerConnections,
    private readonly logger: Logger,
    private readonly meter: Meter,
    private readonly answers: CallerAnswerLog,
    /** Checks whether the response to a request is the last one on its connection. */
    private readonly isLast: (request: IncomingMessage) => boolean,
    private readonly heldBytes: ByteBudget,
  ) {}

  /** Sends a response that is known whole. */
  send(response: ServerResponse, id: string, buffered: BufferedResponse): void {
    if (response.destroyed) return;
    const { head, body, isFramed } = buffered;
    const framing = findFraming(response.req, head.status, true);
    this.writeHead(response, { ...head, headers: addLength(head.headers, framing, body), framing });
    const lease = this.heldBytes.open("answers to callers");
    // The answer is there, so it is delivered; what is read meanwhile finds less room.
    lease.update(body.length);
    response.once("close", () => {
      lease.close();
    });
    response.end(body);
    const answer = { request: id, status: head.status, framing, isEndpointFramed: isFramed };
    this.answers.recordWhole(response, answer);
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
    const framing = findFraming(response.req, status, true);
    const headers = [...this.codec.listRefusalHeaders(id, refusal)];
    headers.push("content-type", "application/json");
    if (!response.req.complete) headers.push("connection", "close");
    this.writeHead(response, { status, headers: addLength(headers, framing, body), framing });
    response.end(body);
    this.answers.recordWhole(response, { request: id, status, framing, isEndpointFramed: true });
  }

  /** Creates the sink through which a stream is sent. */
  createSink(response: ServerResponse, id: string, stages: StageRecorder): StreamSink {
    this.streamCount += 1;
    const lease = this.heldBytes.open(`stream ${this.streamCount}`);
    response.once("close", () => {
      lease.close();
    });
    let sink: Pick<StreamSink, "write" | "end" | "cut"> = this.createChunkedSink(response, lease);
    return {
      begin: (status, headers, isEndpointFramed) => {
        if (isOver(response)) return;
        stages.enter(RequestStage.stream);
        const framing = findFraming(response.req, status, false);
        const begun = { request: id, status, headers, framing, isEndpointFramed };
        if (framing === CallerFraming.collected) {
          sink = this.createCollectedSink(response, lease, begun);
          return;
        }
        this.writeHead(response, begun);
        response.flushHeaders();
        this.answers.beginStream(response, begun);
      },
      write: (bytes) => {
        if (isOver(response)) return;
        stages.enter(RequestStage.stream);
        sink.write(bytes);
      },
      end: () => {
        sink.end();
      },
      cut: () => {
        if (!isOver(response)) sink.cut();
      },
    };
  }

  /** Writes a stream as it comes; one that its caller does not take fast enough is cut. */
  private createChunkedSink(
    response: ServerResponse,
    lease: ByteLease,
  ): Pick<StreamSink, "write" | "end" | "cut"> {
    const cut = () => {
      response.destroy();
    };
    return {
      write: (bytes) => {
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

  /** Collects a stream, and sends it with a length; one that breaks off is refused, as nothing was sent. */
  private createCollectedSink(
    response: ServerResponse,
    lease: ByteLease,
    begun: FramedHead & { readonly request: string; readonly isEndpointFramed: boolean },
  ): CollectedStream {
    const { request, headers, framing } = begun;
    return new CollectedStream(lease, {
      onWhole: (body) => {
        if (isOver(response)) return;
        this.writeHead(response, { ...begun, headers: addLength(headers, framing, body) });
        response.end(body);
        this.answers.recordWhole(response, begun);
      },
      onCut: (message) => {
        this.refuse(response, request, createUnknownRefusal(Reason.outcomeUnknown, message));
      },
    });
  }

  private writeHead(response: ServerResponse, { status, headers, framing }: FramedHead): void {
    response.sendDate = false;
    // Without it Node.js closes the connection after a head that nothing follows.
    response.useChunkedEncodingByDefault =
      framing === CallerFraming.chunks || framing === CallerFraming.head;
    if (this.isLast(response.req)) response.shouldKeepAlive = false;
    if (!response.shouldKeepAlive) this.connections.markEnding(response.req.socket);
    response.writeHead(status, [...headers]);
  }
}

function isOver(response: ServerResponse): boolean {
  return response.destroyed || response.writableEnded;
}

function findFraming(request: IncomingMessage, status: number, isWhole: boolean): CallerFraming {
  const { method = "", httpVersionMajor, httpVersionMinor } = request;
  const version = { versionMajor: httpVersionMajor, versionMinor: httpVersionMinor };
  return decideFraming({ method, status, isWhole, ...version });
}

/** Adds the length of a body that the head alone does not delimit. */
function addLength(
  headers: readonly string[],
  framing: CallerFraming,
  body: Buffer,
): readonly string[] {
  if (framing === CallerFraming.head) return headers;
  return [...headers, "content-length", String(body.length)];
}
