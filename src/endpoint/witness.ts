/**
 * Opens the connections to a service that show whether its process outlives an answer whose end nothing else proves.
 */
import type { Socket } from "node:net";
import { WriterState } from "../core/assertedend";
import type { Moment } from "../core/clock";
import { ReadFirstTimer } from "../core/readfirst";
import {
  judgeReopened,
  judgeWitness,
  UNACCEPTED_TIMEOUT_MS,
  WITNESS_TIMEOUT_MS,
  type Witnessed,
  WitnessState,
} from "../core/witness";
import { createConnector } from "../store/connector";
import { isConnectionRefused } from "../store/http";

/** Timeout of the connect, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Code of the error of a connection that was established and reset before it was used. */
const RESET_CODE = "ECONNRESET";

const FINAL_STATES: ReadonlySet<WitnessState | undefined> = new Set([
  WitnessState.ended,
  WitnessState.reset,
]);

/** A connection on which nothing is sent. */
class Connection {
  private seen: Witnessed | undefined;
  private socket: Socket | undefined;
  private isClosed = false;
  private readonly listeners = new Set<() => void>();

  /**
   * @param origin - the service, as a URL without a path
   * @param onOver - called once it was open and has ended
   */
  constructor(
    origin: string,
    private readonly onOver: () => void = () => undefined,
  ) {
    const { protocol, hostname, port } = new URL(origin);
    createConnector(CONNECT_TIMEOUT_MS)({ protocol, hostname, port }, (error, socket) => {
      if (error === null) this.onOpen(socket);
      else this.record(classifyFailure(error));
    });
  }

  /**
   * Observes the connection until it has failed or ended, or has outlived the answer.
   *
   * @param endedAt - when the end of the answer was read
   * @param timeoutMs - for how long it has to, in milliseconds
   */
  async observe(endedAt: Moment, timeoutMs = WITNESS_TIMEOUT_MS): Promise<Witnessed> {
    const opened = this.seen ?? (await this.waitForChange());
    if (opened.state !== WitnessState.open || opened.since > endedAt) return opened;
    return this.waitForChange(endedAt + timeoutMs - performance.now());
  }

  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  private onOpen(socket: Socket): void {
    this.socket = socket;
    const recordEnd = () => {
      this.record(WitnessState.ended);
    };
    const recordReset = () => {
      this.record(WitnessState.reset);
    };
    socket.on("end", recordEnd).on("error", recordReset).on("close", recordEnd).resume();
    if (this.isClosed) socket.destroy();
    this.record(WitnessState.open);
  }

  private record(state: WitnessState): void {
    if (FINAL_STATES.has(this.seen?.state)) return;
    const since = performance.now();
    const openedAt = state === WitnessState.open ? since : this.seen?.openedAt;
    this.seen = { state, since, ...(openedAt !== undefined && { openedAt }) };
    for (const listener of this.listeners) listener();
    if (FINAL_STATES.has(state) && !this.isClosed) this.onOver();
  }

  /** Waits for the next state, at most so many milliseconds; for the first one as long as a connect takes. */
  private waitForChange(ms = 2 * CONNECT_TIMEOUT_MS): Promise<Witnessed> {
    return new Promise((resolve) => {
      const finish = () => {
        this.listeners.delete(finish);
        timer.close();
        resolve(this.seen ?? { state: WitnessState.unreachable, since: performance.now() });
      };
      const timer = new ReadFirstTimer(Math.max(0, ms), finish);
      this.listeners.add(finish);
    });
  }
}

/** Classifies an error of a connect; a listener that closes resets the connections that it has not accepted yet. */
function classifyFailure(error: Error): WitnessState {
  if (isConnectionRefused(error)) return WitnessState.refused;
  const isReset = (error as NodeJS.ErrnoException).code === RESET_CODE;
  return isReset ? WitnessState.ended : WitnessState.unreachable;
}

/**
 * Witnesses an answer by a connection that is opened with it, and by a second one as soon as that one has ended.
 *
 * @example
 * const witness = new Witness("http://127.0.0.1:80");
 */
export class Witness {
  private readonly first: Connection;
  private second: Connection | undefined;

  /** @param origin - the service, as a URL without a path */
  constructor(private readonly origin: string) {
    this.first = new Connection(origin, () => {
      this.second = new Connection(origin);
    });
  }

  /**
   * Finds what is known of the process that wrote the answer; asks once more where both connections tell nothing, as
   * services end connections that are not used.
   *
   * @param endedAt - when the end of the answer was read
   * @example
   * await witness.findWriter(performance.now()); // "alive"
   */
  async findWriter(endedAt: Moment): Promise<WriterState> {
    const told = judgeWitness(await this.first.observe(endedAt), endedAt);
    return told ?? (await this.askSecond(endedAt)) ?? this.askAgain(endedAt);
  }

  close(): void {
    this.first.close();
    this.second?.close();
  }

  private async askSecond(endedAt: Moment): Promise<WriterState | undefined> {
    const seen = await this.second?.observe(endedAt, UNACCEPTED_TIMEOUT_MS);
    return seen && judgeReopened(seen, endedAt);
  }

  private async askAgain(endedAt: Moment): Promise<WriterState> {
    const later = new Connection(this.origin);
    try {
      return judgeWitness(await later.observe(endedAt), endedAt) ?? WriterState.silent;
    } finally {
      later.close();
    }
  }
}
