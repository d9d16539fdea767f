/**
 * What an answer must look like to be a stream's, and an event to be the next one. All of it is decided
 * here: the caller gets one stream, whichever engines write it, so an error, a page or an answer without
 * a body must not come amid it, nor end it as if it were whole.
 */
import { type ResponseHead, Verdict } from "../requests";
import type { StreamEvent } from "./events";

const STREAM_STATUS = 200;
const EVENT_STREAM = "text/event-stream";
const TYPE_HEADER = "content-type";
/** What a line of an event begins with that says nothing to its reader. */
const COMMENT = 58;

/** How the ids of a stream have risen so far. */
const Steps = {
  /** Fewer than two are known. */
  unknown: "unknown",
  /** Each was the one before it plus one. */
  ones: "ones",
  others: "others",
} as const;
type Steps = (typeof Steps)[keyof typeof Steps];

/**
 * The form of one stream.
 *
 * @example
 * const form = new StreamForm();
 * if (form.matches(head)) form.begin(head);
 */
export class StreamForm {
  private type: string | undefined;
  private hasBegun = false;
  /** True once an event was accepted that says something. */
  private hasEvents = false;
  /** True until the run that goes on with the stream has written an event. */
  private isFirstOfRun = true;
  private steps: Steps = Steps.unknown;

  /** Checks whether the head of an answer is that of a stream, and of this one once it has begun. */
  matches({ verdict, status, headers }: ResponseHead): boolean {
    if (verdict !== Verdict.answered || status !== STREAM_STATUS) return false;
    const type = readType(headers);
    if (this.hasBegun) return type === this.type;
    return type === undefined || type === EVENT_STREAM;
  }

  /** Records the head that the caller got. */
  begin({ headers }: ResponseHead): void {
    this.hasBegun = true;
    this.type = readType(headers);
  }

  /** Records that another run writes the events from now on. */
  beginRun(): void {
    this.isFirstOfRun = true;
  }

  /**
   * Checks whether an event is the next one: ids rise, and the first event of a run that goes on with a
   * stream has one. Where all ids before it rose by ones, that one leaves none out.
   *
   * @param lastId - id of the last event of the stream; undefined if it has none
   */
  isNext(event: StreamEvent, lastId: string | undefined): boolean {
    if (event.bytes[0] === COMMENT && event.id === undefined) return true;
    const mustFollow = this.isFirstOfRun && (this.hasEvents || lastId !== undefined);
    if (!isRising(event.id, lastId, mustFollow)) return false;
    if (this.leavesOut(event, lastId)) return false;
    this.recordStep(event.id, lastId);
    this.isFirstOfRun = false;
    this.hasEvents = true;
    return true;
  }

  /**
   * Checks whether an event is the first of a run that goes on with a stream, and leaves ids out before it: those of
   * the stream rose by ones. Of a stream that a caller takes up, its last id alone says nothing of the steps.
   *
   * @param lastId - id of the last event of the stream; undefined if it has none
   */
  leavesOut({ id }: StreamEvent, lastId: string | undefined): boolean {
    if (!this.isFirstOfRun || this.steps !== Steps.ones) return false;
    return id !== undefined && lastId !== undefined && Number(id) > Number(lastId) + 1;
  }

  private recordStep(id: string | undefined, lastId: string | undefined): void {
    if (id === undefined || lastId === undefined || this.steps === Steps.others) return;
    this.steps = Number(id) === Number(lastId) + 1 ? Steps.ones : Steps.others;
  }
}

function isRising(id: string | undefined, lastId: string | undefined, isNeeded: boolean): boolean {
  if (id === undefined || lastId === undefined) return !isNeeded;
  const [number, lastNumber] = [Number(id), Number(lastId)];
  if (Number.isNaN(number) || Number.isNaN(lastNumber)) return !isNeeded || id !== lastId;
  return number > lastNumber;
}

/** Reads the media type, without its parameters; undefined if the head has none. */
function readType(headers: readonly string[]): string | undefined {
  const at = headers.findIndex(
    (text, index) => index % 2 === 0 && text.toLowerCase() === TYPE_HEADER,
  );
  return at < 0 ? undefined : headers[at + 1]?.split(";")[0]?.trim().toLowerCase();
}
