/**
 * One endpoint of a soak: a plain service or an engine, which writes for each request what only that request can get,
 * and can be silent at each stage.
 */
import type { Socket } from "node:net";
import { type EndpointEntry, EngineStage } from "../../src/fleet/entries";
import { createEntry } from "../harness/forward";
import { RawEndpoint } from "../harness/raw";
import { Stop } from "../harness/stop";
import {
  ANY_WRITER,
  createBody,
  createEvents,
  type EventWriter,
  HANDLE_PREFIX,
  PAGE,
  PAGE_TYPE,
} from "./answers";
import { REPORT_PATH } from "./codec";
import { CallKind } from "./history";
import { SilentStage } from "./schedule";
import { AnswerFraming, computePauseMs, StreamFraming, type StreamPlan } from "./streamplan";

/** Number of answers after which an endpoint asks to close a kept connection. */
const ANSWERS_PER_CONNECTION = 30;
/**
 * Time between the events of a stream, in milliseconds; drafts are slow, so that stops and cuts meet them midway, and some
 * last beyond the notice of a relay that stops.
 */
const EVENT_INTERVAL_MS = { draft: 250, summary: 40 } as const;
/** Time that a plain service or a prefill takes, in milliseconds. */
const ANSWER_MS = 10;
/** Time after which an answer is written a second time, in milliseconds. */
const COPY_DELAY_MS = 120;
/** Number of generations that an engine holds memory for. */
const HOLD_COUNT = 12;
/** How long memory that nobody uses stays reserved, in milliseconds. */
const HOLD_TTL_MS = 2000;

/** Size of one write of an answer without end, in bytes. */
const ENDLESS_BYTES = 16 * 1024;

export { StreamFraming } from "./streamplan";

/** A request that an endpoint has read. */
export interface ReceivedRun {
  readonly id: string;
  readonly endpoint: string;
  readonly promptOf: string | undefined;
}

/** A stream that an engine writes. */
interface OpenStream {
  readonly events: readonly string[];
  readonly socket: Socket;
  readonly intervalMs: number;
  readonly plan: StreamPlan;
  /** Number of the event before the first one. */
  readonly after: number;
  onEnd(): void;
}

/** An endpoint whose process can die and come back at the same address. */
export class SoakEndpoint {
  /** True while it writes each answer a second time. */
  isCopying = false;
  /** True while its answers never end, or are a page where a stream goes on. */
  isSpoiling = false;
  /** Chooses how the stream of a request is framed. */
  chooseFraming: (id: string) => StreamFraming = () => StreamFraming.chunks;
  /** Plans how the stream of a request is written; framed as chosen and without a pause if undefined. */
  planStream: ((id: string) => StreamPlan) | undefined;
  /** True while events name the process that writes them. */
  isNamed = false;
  /** Time between the events of a stream, in milliseconds; by kind if undefined. */
  intervalMs: number | undefined;
  private readonly stops = {
    [SilentStage.answer]: new Stop(),
    [SilentStage.hold]: new Stop(),
    [SilentStage.head]: new Stop(),
    [SilentStage.event]: new Stop(),
  };
  private readonly answerCounts = new WeakMap<Socket, number>();
  private readonly holds = new Map<string, NodeJS.Timeout>();
  private holdCount = 0;
  private process: RawEndpoint | undefined;
  private port = 0;
  private startedAt = 0;
  private version = "v1";

  /** @param onRun - called for each request that it runs */
  constructor(
    readonly id: string,
    private readonly more: Partial<EndpointEntry>,
    private readonly onRun: (run: ReceivedRun) => void,
  ) {}

  /** Address of its process. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** The stages that its requests have. */
  get stages(): readonly SilentStage[] {
    const { hold, head, event, answer } = SilentStage;
    return this.more.stage === EngineStage.decode ? [hold, head, event] : [answer];
  }

  /** Starts its process, at the address of the one before if there was one. */
  async start(version = this.version): Promise<void> {
    this.version = version;
    this.process = new RawEndpoint((head, socket) => {
      this.onRequest(head, socket);
    });
    const address = await this.process.listen(this.port);
    this.port = Number(address.split(":")[1]);
    this.startedAt = Math.max(Date.now(), this.startedAt + 1);
  }

  /** Creates its entry of the endpoint list. */
  createEntry(): EndpointEntry {
    const { startedAt: processStartedAt, version } = this;
    return createEntry(this.id, this.address, { ...this.more, processStartedAt, version });
  }

  /** Ends its process, with all connections and memory. */
  crash(): void {
    this.process?.close();
    for (const timer of this.holds.values()) clearTimeout(timer);
    this.holds.clear();
  }

  /** Keeps the next steps of a stage waiting. */
  silence(stage: SilentStage): void {
    this.stops[stage].arm();
  }

  /** Goes on with a stage. */
  resume(stage: SilentStage): void {
    this.stops[stage].open();
  }

  private onRequest(head: string, socket: Socket): void {
    if (head.startsWith("POST /hold")) this.stops.hold.pass(() => this.reserve(socket));
    else if (head.startsWith(`GET ${REPORT_PATH}`)) writePlain(socket, String(this.startedAt));
    else if (head.startsWith("DELETE /hold/")) {
      this.release(/^DELETE \/hold\/(\S+)/.exec(head)?.[1] ?? "");
      writePlain(socket, "");
    } else if (head.includes("x-task: prefill")) {
      this.answer(head, socket, `${HANDLE_PREFIX}${readId(head)}`);
    } else if (head.includes("x-task: run")) this.run(head, socket);
    else writePlain(socket, "");
  }

  private run(head: string, socket: Socket): void {
    const id = readId(head);
    const promptOf = /x-source: (\S+)/i.exec(head)?.[1]?.slice(HANDLE_PREFIX.length);
    this.onRun({ id, endpoint: this.id, promptOf });
    if (this.more.stage === EngineStage.decode) this.beginStream(head, socket);
    else this.answer(head, socket, createBody(CallKind.any, id));
  }

  private answer(head: string, socket: Socket, body: string): void {
    setTimeout(() => {
      this.stops.answer.pass(() => {
        this.writeAnswer(head, socket, body);
      });
    }, ANSWER_MS);
  }

  private writeAnswer(head: string, socket: Socket, body: string): void {
    const count = (this.answerCounts.get(socket) ?? 0) + 1;
    this.answerCounts.set(socket, count);
    if (this.isSpoiling) {
      writeEndless(head, socket);
      return;
    }
    const isLast = count >= ANSWERS_PER_CONNECTION;
    const top = `200 OK\r\nx-id: ${readId(head)}${isLast ? "\r\nconnection: close" : ""}`;
    writePlain(socket, body, top);
    if (this.isCopying && !isLast) setTimeout(writePlain, COPY_DELAY_MS, socket, body, top);
    if (isLast) socket.end();
  }

  private beginStream(head: string, socket: Socket): void {
    const hold = /x-hold: (\S+)/i.exec(head)?.[1] ?? "";
    clearTimeout(this.holds.get(hold));
    this.stops.head.pass(() => {
      if (this.isSpoiling && head.toLowerCase().includes("x-after: ")) {
        this.release(hold);
        writePlain(socket, PAGE, `200 OK\r\nx-id: ${readId(head)}\r\ncontent-type: ${PAGE_TYPE}`);
        return;
      }
      this.writeStream(head, socket, () => {
        this.release(hold);
      });
    });
  }

  private writeStream(head: string, socket: Socket, onEnd: () => void): void {
    const id = readId(head);
    const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
    const events = createEvents(id, after, this.describeWriter());
    const plan = this.planStream?.(id) ?? createPlan(this.chooseFraming(id));
    const framing = describeFraming(plan.framing, events.join("").length);
    const type = `content-type: text/event-stream\r\n${framing}`;
    if (!socket.destroyed) socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${type}\r\n\r\n`);
    const kind = head.includes(" /draft/") ? "draft" : "summary";
    const intervalMs = this.intervalMs ?? EVENT_INTERVAL_MS[kind];
    this.writeEvents({ events, socket, intervalMs, plan, after, onEnd }, 0);
  }

  private describeWriter(): EventWriter {
    if (!this.isNamed) return ANY_WRITER;
    return { version: this.version, process: `${this.id}@${this.startedAt}` };
  }

  private writeEvents(stream: OpenStream, next: number): void {
    const { events, socket, intervalMs, plan, after, onEnd } = stream;
    const event = events[next];
    if (socket.destroyed || event === undefined) {
      onEnd();
      endStream(socket, plan.framing);
      return;
    }
    const pauseMs = computePauseMs(plan, after + next + 1);
    setTimeout(() => {
      this.stops.event.pass(() => {
        if (!socket.destroyed) socket.write(frameEvent(event, plan.framing));
        this.writeEvents(stream, next + 1);
      });
    }, intervalMs + pauseMs);
  }

  private reserve(socket: Socket): void {
    if (this.holds.size >= HOLD_COUNT) {
      writePlain(socket, "", "503 Full");
      return;
    }
    this.holdCount += 1;
    const hold = `${this.id}-${this.startedAt}-${this.holdCount}`;
    this.holds.set(
      hold,
      setTimeout(() => {
        this.release(hold);
      }, HOLD_TTL_MS),
    );
    writePlain(socket, hold);
  }

  private release(hold: string): void {
    clearTimeout(this.holds.get(hold));
    this.holds.delete(hold);
  }
}

/** Writes a body without length, until the connection is closed. */
function writeEndless(head: string, socket: Socket): void {
  const bytes = Buffer.alloc(ENDLESS_BYTES, "a");
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on("drain", write);
  socket.write(`HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n\r\n`);
  write();
}

/** Creates the plan of a stream without a pause. */
function createPlan(framing: StreamFraming): StreamPlan {
  return { framing, pauses: [] };
}

function describeFraming(framing: AnswerFraming, length: number): string {
  if (framing === AnswerFraming.length) return `content-length: ${length}`;
  return framing === AnswerFraming.chunks ? "transfer-encoding: chunked" : "connection: close";
}

function frameEvent(event: string, framing: AnswerFraming): string {
  if (framing !== AnswerFraming.chunks) return event;
  return `${event.length.toString(16)}\r\n${event}\r\n`;
}

function endStream(socket: Socket, framing: AnswerFraming): void {
  if (socket.destroyed) return;
  if (framing === AnswerFraming.chunks) socket.write("0\r\n\r\n");
  if (framing === AnswerFraming.none) socket.end();
}

function readId(head: string): string {
  return /x-id: (\S+)/i.exec(head)?.[1] ?? "";
}

function writePlain(socket: Socket, body: string, top = "200 OK"): void {
  if (socket.destroyed) return;
  socket.write(`HTTP/1.1 ${top}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
}
