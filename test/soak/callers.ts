/**
 * Callers of the instances of a soak: each sends requests of all kinds at a steady mean rate, on connections that it keeps
 * using until they are closed, and opens new ones only while the load balancer finds the instance ready.
 */
import {
  Agent,
  type IncomingMessage,
  type RequestOptions,
  request as httpRequest,
} from "node:http";
import { pause } from "../../src/core/clock";
import { InstancePort } from "./faults";
import { EVENT_COUNT, listEvents } from "./answers";
import { CallKind, STREAM_KINDS, type TakenUp, type Try } from "./history";
import type { SoakInstance } from "./instance";
import type { Random } from "./random";
import { type Answer, exchangeRaw, LEFT } from "./streamcaller";

/** How long callers wait, in milliseconds. */
const PATIENCE_MS: Readonly<Record<CallKind, number>> = {
  any: 2500,
  once: 2500,
  keyed: 2500,
  draft: 5800,
  summary: 5000,
};
/** Mean number of requests that reach an instance, of each kind, in a second. */
const RATES: Readonly<Record<CallKind, number>> = {
  any: 3,
  once: 3,
  keyed: 2,
  draft: 0.7,
  summary: 1.5,
};
/** How much longer a caller waits before it gives up, in milliseconds. */
const GIVE_UP_MS = 2000;
/** Time between two checks of the load balancer, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;
/** Number of failed checks in a row that take an instance out of rotation. */
const FAILED_CHECKS = 2;
/** The shares of streams that are read over HTTP/1.0, read raw over HTTP/1.1, and left amid their events. */
const OLD_SHARE = 0.1;
const RAW_SHARE = 0.3;
const LEFT_SHARE = 0.08;
/** How often a caller takes up a stream that broke off, and how long it waits before, in milliseconds. */
const TAKE_UPS = 3;
const TAKE_UP_PAUSE_MS = { min: 50, max: 900 };
/** Number of streams that each instance is asked for in a burst. */
const BURST_SIZE = 3;
/** Parts that the prompts share. */
const SHARED_PARTS = ["walls", "roofs", "doors"];

/** An instance as its callers know it. */
class Callee {
  /** The connections that are kept open. */
  readonly agent = new Agent({ keepAlive: true });
  private failedChecks = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(readonly instance: SoakInstance) {
    this.timer = setInterval(() => void this.check(), CHECK_INTERVAL_MS);
  }

  /** Checks whether a request can be sent: on an open connection, or a new one. */
  isCallable(): boolean {
    const free = Object.values(this.agent.freeSockets).flatMap((sockets) => sockets ?? []);
    return this.failedChecks < FAILED_CHECKS || free.length > 0;
  }

  close(): void {
    clearInterval(this.timer);
    this.agent.destroy();
  }

  private async check(): Promise<void> {
    this.failedChecks = (await this.instance.isReady()) ? 0 : this.failedChecks + 1;
  }
}

/** How a request is sent and its answer read. */
interface StreamManner {
  readonly isOldCaller: boolean;
  /** True on a connection of its own, false on those that are kept open. */
  readonly isRaw: boolean;
  /** Number of events after which the caller leaves. */
  readonly leavesAfter: number | undefined;
  readonly takenUp: TakenUp | undefined;
}

const KEPT: StreamManner = {
  isOldCaller: false,
  isRaw: false,
  leavesAfter: undefined,
  takenUp: undefined,
};

/** Callers of several instances. */
export class SoakCallers {
  readonly tries: Try[] = [];
  private readonly open = new Set<Promise<void>>();
  private readonly callees: Callee[] = [];
  private isStopped = false;
  private bursts = 0;

  /** @param startedAt - when the traffic starts, on the monotonic clock */
  constructor(
    private readonly random: Random,
    private readonly startedAt: number,
  ) {}

  /** Starts to call an instance. */
  start(instance: SoakInstance): void {
    const callee = new Callee(instance);
    this.callees.push(callee);
    for (const kind of Object.values(CallKind)) void this.drive(callee, kind);
  }

  /** Asks each instance that can be called for several streams at once. */
  burst(): void {
    this.bursts += 1;
    for (const callee of this.callees.filter((one) => one.isCallable())) {
      for (let turn = 1; turn <= BURST_SIZE; turn += 1) {
        const id = `${callee.instance.name}-burst-${this.bursts}-${turn}`;
        this.send(callee, CallKind.draft, id);
      }
    }
  }

  /** Sends no more requests, and waits until all that were sent are answered or given up. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.open);
    for (const callee of this.callees) callee.close();
  }

  private async drive(callee: Callee, kind: CallKind): Promise<void> {
    const meanMs = 1000 / RATES[kind];
    await pause(this.random.draw({ min: 0, max: meanMs }));
    for (let turn = 1; !this.isStopped; turn += 1) {
      if (callee.isCallable()) this.send(callee, kind, `${callee.instance.name}-${kind}-${turn}`);
      await pause(this.random.draw({ min: meanMs / 2, max: meanMs * 1.5 }));
    }
  }

  private send(callee: Callee, kind: CallKind, id: string): void {
    const call = (
      STREAM_KINDS.has(kind) ? this.readStream(callee, kind, id) : this.call(callee, kind, id)
    ).then(() => {
      this.open.delete(call);
    });
    this.open.add(call);
  }

  /** Asks for a stream, and takes it up again at other instances if it may be and breaks off. */
  private async readStream(callee: Callee, kind: CallKind, id: string): Promise<void> {
    const manner = this.drawManner();
    let made = await this.call(callee, kind, id, manner);
    let takenUp = findTakeUp(id, made, undefined);
    for (let count = 1; count <= TAKE_UPS && takenUp !== undefined; count += 1) {
      await pause(this.random.draw(TAKE_UP_PAUSE_MS));
      const others = this.callees.filter((one) => one !== callee && one.isCallable());
      if (this.isStopped || others.length === 0) return;
      const name = `${id}.${count + 1}`;
      const mannerThen = { ...manner, isRaw: true, leavesAfter: undefined, takenUp };
      made = await this.call(this.random.choose(others), kind, name, mannerThen);
      takenUp = findTakeUp(id, made, takenUp);
    }
  }

  private drawManner(): StreamManner {
    const share = this.random.draw({ min: 0, max: 1 });
    const isLeaving = this.random.draw({ min: 0, max: 1 }) < LEFT_SHARE;
    const leavesAfter = isLeaving
      ? this.random.drawInteger({ min: 1, max: EVENT_COUNT - 1 })
      : undefined;
    const isOldCaller = share < OLD_SHARE;
    const isRaw = share < OLD_SHARE + RAW_SHARE || isLeaving;
    return { isOldCaller, isRaw, leavesAfter, takenUp: undefined };
  }

  private async call(
    { instance, agent }: Callee,
    kind: CallKind,
    id: string,
    manner: StreamManner = KEPT,
  ): Promise<Try> {
    const { takenUp, isOldCaller, isRaw, leavesAfter } = manner;
    const sentAt = performance.now() - this.startedAt;
    const patienceMs = PATIENCE_MS[kind];
    const giveUpMs = patienceMs + GIVE_UP_MS;
    const headers = {
      "x-id": id,
      "x-patience": String(patienceMs),
      ...this.createHeaders(kind, takenUp?.stream ?? id),
      ...(takenUp && { "x-after": String(takenUp.after), "x-of": takenUp.stream }),
    };
    const port = instance.getPort(InstancePort.callers);
    const path = `/${kind}/${takenUp?.stream ?? id}`;
    const httpVersion = isOldCaller ? "1.0" : "1.1";
    const answer = isRaw
      ? await exchangeRaw({ port, path, headers, httpVersion, giveUpMs, leavesAfter })
      : await exchange({ host: "127.0.0.1", port, path, agent, headers }, giveUpMs);
    const endedAt = performance.now() - this.startedAt;
    const isLeft = answer.failure === LEFT;
    const made = { id, kind, instance: instance.name, sentAt, endedAt, patienceMs, ...answer };
    const item: Try = { ...made, takenUp, isLeft, isOldCaller };
    this.tries.push(item);
    return item;
  }

  private createHeaders(kind: CallKind, id: string): Record<string, string> {
    if (kind === CallKind.keyed) return { "x-key": "k1" };
    if (!STREAM_KINDS.has(kind)) return {};
    const parts = [this.random.choose(SHARED_PARTS), `own-${id}`, "tail"];
    return { "x-tokens": "300", "x-parts": parts.join(",") };
  }
}

/**
 * Finds from where a stream can be taken up; undefined if it can't: it is whole but for its end, its caller has left, it
 * may not be resumed, or its caller has none of its events.
 *
 * @param before - what the request itself took up
 */
function findTakeUp(stream: string, item: Try, before: TakenUp | undefined): TakenUp | undefined {
  const { kind, status, isComplete, isLeft, body } = item;
  if (kind !== CallKind.summary || isLeft === true || (status === 200 && isComplete)) return;
  const events = status === 200 ? listEvents(body) : [];
  const after = events.at(-1)?.number ?? before?.after;
  return after === undefined || after >= EVENT_COUNT ? undefined : { stream, after };
}

/** Sends a request; resolves with what came back, also if that is nothing. */
function exchange(options: RequestOptions, giveUpMs: number): Promise<Answer> {
  return new Promise((resolve) => {
    let response: IncomingMessage | undefined;
    let body = "";
    let failure = "";
    const finish = () => {
      clearTimeout(timer);
      const id = response?.headers["x-id"];
      resolve({
        status: response?.statusCode ?? 0,
        answeredId: typeof id === "string" ? id : undefined,
        body,
        type: response?.headers["content-type"],
        isComplete: response?.complete === true && failure === "",
        failure,
      });
    };
    const request = httpRequest(options, (received) => {
      response = received;
      received.on("data", (bytes: Buffer) => (body += bytes.toString()));
      received.on("error", ({ code = "" }: NodeJS.ErrnoException) => (failure = code));
      received.on("close", finish);
    });
    request.on("error", ({ code = "error" }: NodeJS.ErrnoException) => {
      failure = failure === "" ? code : failure;
      if (response === undefined) finish();
    });
    const timer = setTimeout(() => {
      failure = "gave up";
      request.destroy();
      if (response === undefined) finish();
    }, giveUpMs);
    request.end();
  });
}
