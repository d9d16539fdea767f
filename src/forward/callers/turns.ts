/**
 * Bounds how many requests of one connection are under way: a caller that sends thousands behind each other
 * would otherwise take the places of all others at the endpoints.
 */
import type { Socket } from "node:net";

/** Requests of one connection that are under way at most. */
const MAX_UNDER_WAY = 4;
/** Requests of one connection that wait behind those at most. */
const MAX_WAITING = 100;
/** What a request costs that waits, with its objects, in bytes. */
const WAITING_COST = 8192;
/** The part of the budget that all requests may take that wait. */
const WAITING_SHARE = 0.2;

/** What becomes of a request at once. */
export const Turn = {
  now: "now",
  refused: "refused",
} as const;
export type Turn = (typeof Turn)[keyof typeof Turn];

interface ConnectionState {
  underWay: number;
  readonly waiting: (() => void)[];
}

/**
 * The turns of the requests of all connections.
 *
 * @example
 * const turn = turns.begin(socket);
 * if (turn !== Turn.now && turn !== Turn.refused) await turn;
 * turns.end(socket);
 */
export class ConnectionTurns {
  private readonly connections = new WeakMap<Socket, ConnectionState>();
  private waitingTotal = 0;

  /** @param maxBytes - the budget of all that the process holds for others */
  constructor(private readonly maxBytes: number) {}

  /** Number of requests that wait, of all connections. */
  get waitingCount(): number {
    return this.waitingTotal;
  }

  /**
   * Begins a request.
   *
   * @returns a promise of its turn if it has to wait; that of a closed connection resolves too
   */
  begin(socket: Socket): Turn | Promise<void> {
    const state = this.findOrCreate(socket);
    if (state.underWay < MAX_UNDER_WAY) {
      state.underWay += 1;
      return Turn.now;
    }
    const cost = (this.waitingTotal + 1) * WAITING_COST;
    const isFull = state.waiting.length >= MAX_WAITING || cost > this.maxBytes * WAITING_SHARE;
    if (isFull) return Turn.refused;
    this.waitingTotal += 1;
    return new Promise((resolve) => state.waiting.push(resolve));
  }

  /** Ends a request that had its turn; the next one of its connection gets it. */
  end(socket: Socket): void {
    const state = this.findOrCreate(socket);
    const next = state.waiting.shift();
    if (next === undefined) {
      state.underWay -= 1;
      return;
    }
    this.waitingTotal -= 1;
    next();
  }

  private findOrCreate(socket: Socket): ConnectionState {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const state: ConnectionState = { underWay: 0, waiting: [] };
    this.connections.set(socket, state);
    socket.once("close", () => {
      this.waitingTotal -= state.waiting.length;
      for (const resolve of state.waiting.splice(0)) resolve();
    });
    return state;
  }
}
