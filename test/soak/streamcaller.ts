/**
 * A caller of a stream on a socket of its own: it reads the answer as its framing says, and one that only the end of its
 * connection delimits as complete unless it is reset.
 */
import { connect } from "node:net";
import type { Try } from "./history";

/** What a caller got. */
export type Answer = Pick<
  Try,
  "status" | "answeredId" | "body" | "type" | "isComplete" | "failure"
>;

/** A request on a connection of its own. */
export interface RawCall {
  readonly port: number;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly httpVersion: "1.0" | "1.1";
  readonly giveUpMs: number;
  /** Number of events after which the caller leaves; undefined if it stays. */
  readonly leavesAfter: number | undefined;
}

/** What has come of an answer. */
interface ReadAnswer extends Pick<Answer, "status" | "answeredId" | "body" | "type"> {
  /** Undefined if only the end of the connection tells. */
  readonly isWhole: boolean | undefined;
}

const HEAD_END = "\r\n\r\n";
/** Name of the failure of a caller that waited in vain, and of one that left. */
const GAVE_UP = "gave up";
export const LEFT = "left";

/**
 * Sends a request; resolves with what came back, also if that is nothing.
 *
 * @example
 * const { isComplete } = await exchangeRaw(call);
 */
export function exchangeRaw(call: RawCall): Promise<Answer> {
  const { port, giveUpMs, leavesAfter } = call;
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    let failure = "";
    const end = (cause: string) => {
      failure ||= cause;
      socket.destroy();
    };
    const timer = setTimeout(end, giveUpMs, GAVE_UP);
    socket.on("error", ({ code = "error" }: NodeJS.ErrnoException) => (failure ||= code));
    socket.on("data", (bytes: Buffer) => {
      received += bytes.toString("latin1");
      const { isWhole, body } = readAnswer(received);
      if (isWhole === true) socket.destroy();
      else if (leavesAfter !== undefined && countEvents(body) >= leavesAfter) end(LEFT);
    });
    socket.on("close", () => {
      clearTimeout(timer);
      const { isWhole, ...answer } = readAnswer(received);
      // A framed answer is whole before its connection ends.
      const isComplete = isWhole ?? (failure === "" && answer.status > 0);
      if (!isComplete && failure === "") failure = "closed";
      resolve({ ...answer, isComplete, failure });
    });
    socket.write(formatHead(call));
  });
}

/**
 * Reads what has come of an answer.
 *
 * @example
 * readAnswer("HTTP/1.0 200 OK\r\n\r\nhalf").isWhole; // undefined
 */
export function readAnswer(received: string): ReadAnswer {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) return { status: 0, answeredId: undefined, body: "", isWhole: false };
  const head = received.slice(0, headEnd);
  const status = Number(/^HTTP\/1\.\d (\d+)/.exec(head)?.[1] ?? "0");
  const answeredId = /^x-id: *(\S+)/im.exec(head)?.[1];
  const type = /^content-type: *(\S+)/im.exec(head)?.[1];
  return { status, answeredId, type, ...readBody(head, received.slice(headEnd + HEAD_END.length)) };
}

function readBody(head: string, text: string): Pick<ReadAnswer, "body" | "isWhole"> {
  if (/^transfer-encoding: *chunked/im.test(head)) return readChunks(text);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  return { body: text, isWhole: length === undefined ? undefined : text.length >= Number(length) };
}

function readChunks(text: string): Pick<ReadAnswer, "body" | "isWhole"> {
  let body = "";
  let from = 0;
  for (;;) {
    const sizeEnd = text.indexOf("\r\n", from);
    if (sizeEnd < 0) return { body, isWhole: false };
    const size = Number.parseInt(text.slice(from, sizeEnd), 16);
    if (size === 0) return { body, isWhole: text.length >= sizeEnd + HEAD_END.length };
    from = sizeEnd + 2;
    body += text.slice(from, from + size);
    from += size + 2;
    if (from > text.length) return { body, isWhole: false };
  }
}

function countEvents(body: string): number {
  return body.split("\n\n").length - 1;
}

function formatHead({ path, headers, httpVersion }: RawCall): string {
  const fields = Object.entries({ host: "test", ...headers });
  const lines = fields.map(([name, value]) => `${name}: ${value}`);
  return [`GET ${path} HTTP/${httpVersion}`, ...lines].join("\r\n") + HEAD_END;
}
