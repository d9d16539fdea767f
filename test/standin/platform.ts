/**
 * Stand-in for the platform: the append-only log and the list of instances and endpoints. PUT /faults
 * sets faults. Arguments: port, retention (number of records that a stream keeps).
 */
import { answerJson, type JsonRequest, pause, serveJson } from "./http";

interface StoredRecord {
  readonly offset: number;
  readonly record: unknown;
}

interface LogStream {
  records: StoredRecord[];
  end: number;
  wakeups: (() => void)[];
}

/** Injected faults. */
interface Faults {
  /** The log responds with 503. */
  down: boolean;
  /** The log accepts requests and sends no response. */
  silent: boolean;
  /** Delay added to each call to the log, in milliseconds. */
  slowMs: number;
  /** Appends are applied, and the connection is closed without a response. */
  loseAnswers: boolean;
  /** Delay until a change of the list becomes visible, in milliseconds. */
  listLagMs: number;
}

interface Entry {
  readonly name: string;
  readonly kind: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Addresses that differ from `address`, by the data centre of the reader. */
  readonly addressFrom?: Readonly<Record<string, string>>;
  readonly state: string;
}

const APPENDS_PER_SECOND = 400;
const MAX_PAGE_RECORDS = 1000;

const [portText = "0", retentionText = "100000"] = process.argv.slice(2);
const retention = Number(retentionText);
const streams = new Map<string, LogStream>();
const faults: Faults = {
  down: false,
  silent: false,
  slowMs: 0,
  loseAnswers: false,
  listLagMs: 500,
};
let visibleEntries: readonly Entry[] = [];
let nextAppendAt = 0;

serveJson(Number(portText), async (request, response) => {
  if (request.path === "/faults") {
    Object.assign(faults, request.body);
    answerJson(response, 200, faults);
    return;
  }
  if (request.path === "/entries" || request.path.endsWith("/entries")) {
    handleList(request, (body) => {
      answerJson(response, 200, body);
    });
    return;
  }
  if (faults.silent) return;
  if (faults.slowMs > 0) await pause(faults.slowMs);
  if (faults.down) {
    answerJson(response, 503, { error: "down" });
    return;
  }
  const stream = getOrCreateStream(request.path.split("/")[2] ?? "");
  if (request.method === "POST") {
    await waitForAppendSlot();
    append(stream, request.body.records as unknown[]);
    if (faults.loseAnswers) response.destroy();
    else answerJson(response, 200, { end: stream.end });
    return;
  }
  const from = Number(request.query.get("from") ?? 0);
  if (from >= stream.end) await waitForRecord(stream, Number(request.query.get("wait") ?? 0));
  const page = stream.records.filter((item) => item.offset >= from).slice(0, MAX_PAGE_RECORDS);
  const next = (page.at(-1)?.offset ?? from - 1) + 1;
  answerJson(response, 200, {
    records: page,
    next,
    earliest: stream.records[0]?.offset ?? stream.end,
    end: stream.end,
  });
});

function handleList(request: JsonRequest, answer: (body: unknown) => void): void {
  if (request.method === "PUT") {
    const entries = request.body.entries as Entry[];
    setTimeout(() => {
      visibleEntries = entries;
    }, faults.listLagMs);
    answer({});
    return;
  }
  const viewer = request.path.split("/")[1] ?? "";
  const entries = visibleEntries.map(({ addressFrom, ...entry }) => ({
    ...entry,
    address: addressFrom?.[viewer] ?? entry.address,
  }));
  answer({ entries });
}

function getOrCreateStream(name: string): LogStream {
  const known = streams.get(name);
  if (known !== undefined) return known;
  const stream: LogStream = { records: [], end: 0, wakeups: [] };
  streams.set(name, stream);
  return stream;
}

/** Limits the rate of appends to {@link APPENDS_PER_SECOND}. */
async function waitForAppendSlot(): Promise<void> {
  const now = performance.now();
  nextAppendAt = Math.max(now, nextAppendAt) + 1000 / APPENDS_PER_SECOND;
  if (nextAppendAt - now > 5) await pause(nextAppendAt - now);
}

function append(stream: LogStream, records: readonly unknown[]): void {
  for (const record of records) {
    stream.records.push({ offset: stream.end, record });
    stream.end += 1;
  }
  stream.records = stream.records.slice(-retention);
  const { wakeups: waiting } = stream;
  stream.wakeups = [];
  for (const wake of waiting) wake();
}

function waitForRecord(stream: LogStream, waitMs: number): Promise<void> {
  if (waitMs === 0) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, waitMs);
    stream.wakeups.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
