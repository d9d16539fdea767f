/**
 * The store of a soak as an instance in another process reaches it: calls are messages to the soak, which answers them
 * late or not at all if the store is disturbed.
 */
import type { ChildProcess } from "node:child_process";
import * as E from "fp-ts/Either";
import type { FeedPage, OrderPage, Store } from "../../src/fleet/store";
import { StoreError, StoreFault } from "../../src/fleet/store";
import { FIRST_ERA, type LogPosition } from "../../src/fleet/position";
import type { MemoryStore } from "../harness/memory";

/** A call to the store, as it is sent. */
export interface StoreCall {
  readonly call: number;
  readonly part: "configuration" | "endpoints" | "members" | "orders" | "origins";
  readonly method: "readNewest" | "readHistory" | "read" | "append" | "appendAt";
  readonly args: readonly (number | string | Uint8Array)[];
}

/** The answer to a call, as it is sent. */
export interface StoreAnswer {
  readonly call: number;
  readonly era: number;
  readonly fault?: StoreFault;
  readonly result?: unknown;
}

/** Longest wait for an answer beyond what the call itself asks for, in milliseconds. */
const TIMEOUT_MS = 1000;

/** Answers the calls of one instance's process. */
export class StoreServer {
  /** True while calls are refused. */
  isAway = false;
  /** True while calls are left without an answer. */
  isSilent = false;
  /** How much later calls are answered, in milliseconds. */
  delayMs = 0;

  constructor(private readonly store: MemoryStore) {}

  /** Begins to answer the calls of a process. */
  serve(child: ChildProcess): void {
    child.on("message", (message) => {
      void this.answer(child, message as StoreCall);
    });
  }

  private async answer(child: ChildProcess, sent: StoreCall): Promise<void> {
    if (this.isSilent) return;
    const { call } = sent;
    const result = this.isAway
      ? E.left(new StoreError(StoreFault.refused, "away"))
      : await this.execute(sent);
    const era = this.store.orders.era;
    const answer: StoreAnswer = E.isLeft(result)
      ? { call, era, fault: result.left.fault }
      : { call, era, result: result.right };
    setTimeout(() => {
      // Its process may have ended meanwhile.
      if (!this.isSilent && child.connected) child.send(answer, () => undefined);
    }, this.delayMs);
  }

  private execute({ part, method, args }: StoreCall): Promise<E.Either<StoreError, unknown>> {
    const [first, second] = args;
    if (method === "appendAt") return this.store.orders.appendAt(Number(first), toBuffer(second))();
    if (part === "orders") return this.store.orders.read(Number(first))();
    if (part === "origins") {
      const { origins } = this.store;
      return method === "append"
        ? origins.append(toBuffer(first))()
        : origins.read(Number(first))();
    }
    const feed = this.store[part];
    if (method === "append") return feed.append(String(first), toBuffer(second))();
    if (method === "readHistory") return this.store.endpoints.readHistory()();
    if (method === "readNewest") return feed.readNewest()();
    return feed.read(Number(first), Number(second))();
  }
}

/** The store, in an instance's process. */
export class ChannelStore implements Store {
  readonly configuration = this.createFeed("configuration");
  readonly endpoints: Store["endpoints"] = {
    ...this.createFeed("endpoints"),
    readHistory: () => this.exchange<FeedPage>("endpoints", "readHistory", []),
  };
  readonly members = this.createFeed("members");
  readonly orders: Store["orders"] = {
    read: (from) => this.exchange<OrderPage>("orders", "read", [from]),
    appendAt: (end, value) => this.exchange<LogPosition>("orders", "appendAt", [end, value]),
  };
  readonly origins: Store["origins"] = {
    read: (from) => this.exchange<OrderPage>("origins", "read", [from]),
    append: (value) => this.exchange("origins", "append", [value]),
  };
  private readonly waiting = new Map<number, (answer: StoreAnswer | undefined) => void>();
  private readonly listeners: ((era: number) => void)[] = [];
  private callCount = 0;
  /** Undefined before the first answer. */
  private era: number | undefined;

  /** Takes an answer of the soak. */
  onAnswer(answer: StoreAnswer): void {
    const isLater = this.era !== undefined && answer.era > this.era;
    this.era = Math.max(this.era ?? FIRST_ERA, answer.era);
    if (isLater) for (const listener of this.listeners) listener(answer.era);
    this.waiting.get(answer.call)?.(answer);
  }

  onRestored(listener: (era: number) => void): void {
    this.listeners.push(listener);
  }

  reset(): void {
    // There is no connection to reset.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private createFeed(part: "configuration" | "endpoints" | "members"): Store["members"] {
    return {
      readNewest: () => this.exchange<FeedPage>(part, "readNewest", []),
      read: (from, waitMs) => this.exchange<FeedPage>(part, "read", [from, waitMs], waitMs),
      append: (key, value) => this.exchange(part, "append", [key, value]),
    };
  }

  /** @param waitMs - how long the store waits for records, in milliseconds */
  private exchange<T>(
    part: StoreCall["part"],
    method: StoreCall["method"],
    args: StoreCall["args"],
    waitMs = 0,
  ) {
    return async (): Promise<E.Either<StoreError, T>> => {
      this.callCount += 1;
      const call = this.callCount;
      const answer = await new Promise<StoreAnswer | undefined>((resolve) => {
        this.waiting.set(call, resolve);
        setTimeout(resolve, TIMEOUT_MS + waitMs, undefined).unref();
        process.send?.({ call, part, method, args } satisfies StoreCall);
      });
      this.waiting.delete(call);
      if (answer === undefined) return E.left(new StoreError(StoreFault.unknown, "no answer"));
      const { fault, result } = answer;
      return fault === undefined ? E.right(result as T) : E.left(new StoreError(fault, fault));
    };
  }
}

function toBuffer(value: StoreCall["args"][number] | undefined): Buffer {
  return Buffer.from(value as Uint8Array);
}
