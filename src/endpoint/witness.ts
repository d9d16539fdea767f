/**
 * Opens the connections to a service that show whether its process outlives an answer whose end nothing else proves.
 */
import type { Socket } from "node:net";
import { WriterState } from "../core/assertedend";
import type { Moment } from "../core/clock";
import { ReadFirstTimer } from "../core/readfirst";
import { judgeWitness, WITNESS_TIMEOUT_MS, type Witnessed, WitnessState } from "../core/witness";
import { createConnector } from "../store/connector";
import { isConnectionRefused } from "../store/http";

/** Timeout of the connect, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Code of the error of a connection that was established and reset before it was used. */
const RESET_CODE = "ECONNRESET";

/** A connection on which nothing is sent. */
export class Witness {
  private seen: Witnessed | undefined;
  private socket: Socket | undefined;
  private isClosed = false;
  private readonly listeners = new Set<() => void>();

  /** @param origin - the service, as a URL without a path */
  constructor(origin: string) {
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
   */
  async observe(endedAt: Moment): Promise<Witnessed> {
    const opened = this.seen ?? (await this.waitForChange());
    if (opened.state !== WitnessState.open || opened.since > endedAt) return opened;
    return this.waitForChange(endedAt + WITNESS_TIMEOUT_MS - performance.now());
  }

  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  private onOpen(socket: Socket): void {
    this.socket = socket;
    const onEnd = () => {
      this.record(WitnessState.ended);
    };
    socket.on("end", onEnd).on("error", onEnd).on("close", onEnd).resume();
    if (this.isClosed) socket.destroy();
    this.record(WitnessState.open);
  }

  private record(state: WitnessState): void {
    if (this.seen?.state === WitnessState.ended) return;
    const since = performance.now();
    const openedAt = state === WitnessState.open ? since : this.seen?.openedAt;
    this.seen = { state, since, ...(openedAt !== undefined && { openedAt }) };
    for (const listener of this.listeners) listener();
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
 * Finds what is known of the process that wrote an answer; asks once more where the witness failed or ended long before,
 * as services end connections that are not used, or was only established after the end and has ended.
 *
 * @param endedAt - when the end of the answer was read
 * @example
 * await findServiceWriter("http://127.0.0.1:80", witness, performance.now());
 */
export async function findServiceWriter(
  origin: string,
  witness: Witness,
  endedAt: Moment,
): Promise<WriterState> {
  const told = judgeWitness(await witness.observe(endedAt), endedAt);
  if (told !== undefined) return told;
  const later = new Witness(origin);
  try {
    return judgeWitness(await later.observe(endedAt), endedAt) ?? WriterState.silent;
  } finally {
    later.close();
  }
}
