/**
 * Records how each answer to a caller shows its end, and how it ended: a process that dies leaves answers that
 * were under way, and of these alone a line tells that they began and none that they ended.
 */
import type { ServerResponse } from "node:http";
import type { Logger } from "../../core/log";
import type { Meter } from "../requests";
import type { CallerFraming } from "./framing";

/** How an answer to a caller ended. */
const CallerAnswerEnd = {
  /** All of it was handed to the operating system. */
  written: "written",
  cut: "cut",
  /** It was under way as this process closed its connections. */
  underWay: "under way",
} as const;
type CallerAnswerEnd = (typeof CallerAnswerEnd)[keyof typeof CallerAnswerEnd];

/** An answer whose head was sent. */
export interface BegunAnswer {
  /** Id of its request; undefined where its head can't be read. */
  readonly request: string | undefined;
  readonly status: number;
  readonly framing: CallerFraming;
  /** Whether the endpoint's answer had a length or chunks; true for answers of this process. */
  readonly isEndpointFramed: boolean;
}

/** Records the answers of one server to its callers. */
export class CallerAnswerLog {
  /** Those that a line tells of, until they have ended. */
  private readonly open = new Map<ServerResponse, BegunAnswer>();

  constructor(
    private readonly logger: Logger,
    private readonly meter: Meter,
  ) {}

  /** Records a stream as its head is sent. */
  beginStream(response: ServerResponse, answer: BegunAnswer): void {
    this.meter.callerAnswers.inc({ framing: answer.framing });
    this.watch(response, answer);
  }

  /** Records an answer that is handed over whole; a line tells of it only if its caller has to take it yet. */
  recordWhole(response: ServerResponse, answer: BegunAnswer): void {
    this.meter.callerAnswers.inc({ framing: answer.framing });
    if (response.writableLength > 0) this.watch(response, answer);
    else this.count(answer, CallerAnswerEnd.written);
  }

  /** Records the answers that are under way as the process ends. */
  recordStop(): void {
    for (const [response, answer] of this.open) {
      this.recordEnd(response, answer, CallerAnswerEnd.underWay);
    }
    this.open.clear();
  }

  private watch(response: ServerResponse, answer: BegunAnswer): void {
    const { request, status, framing, isEndpointFramed } = answer;
    this.open.set(response, answer);
    const fields = { request: request ?? "", status, framing, endpointFramed: isEndpointFramed };
    this.logger.info("caller answer begun", fields);
    const { socket } = response.req;
    const finish = () => {
      response.off("close", finish);
      socket.off("close", finish);
      if (!this.open.delete(response)) return;
      const isWritten = response.writableFinished;
      this.recordEnd(response, answer, isWritten ? CallerAnswerEnd.written : CallerAnswerEnd.cut);
    };
    response.once("close", finish);
    // The response to a request behind another one is told nothing of it.
    socket.once("close", finish);
  }

  private recordEnd(response: ServerResponse, answer: BegunAnswer, end: CallerAnswerEnd): void {
    this.count(answer, end);
    const { request, framing } = answer;
    const untaken = response.writableLength;
    const fields = { request: request ?? "", framing, end, untaken };
    if (end === CallerAnswerEnd.written) this.logger.info("caller answer ended", fields);
    else this.logger.warn("caller answer ended", fields);
  }

  private count({ framing }: BegunAnswer, end: CallerAnswerEnd): void {
    this.meter.callerAnswerEnds.inc({ framing, end });
  }
}
