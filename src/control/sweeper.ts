/**
 * Releases what the dead held: for each endpoint one instance of its data centre looks for holds
 * whose owner is gone.
 */
import type { Board } from "../board/board";
import type { Clock } from "../core/clock";
import { readInstance, readOwner } from "../core/ids";
import type { Logger } from "../core/log";
import type { EngineClient } from "../endpoint/engine";
import type { Watchlist } from "./election";
import { isGone } from "./lister";
import type { Self } from "./membership";

const SWEEP_MS = 500;

/** Sweeps the endpoints that this instance looks after. */
export class Sweeper {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly board: Board,
    private readonly self: Self,
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly watchlist: Watchlist,
    private readonly logger: Logger,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.sweep();
    }, SWEEP_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private sweep(): void {
    const { endpoints } = this.board.config.read().configuration;
    for (const name of this.watchlist.list(this.clock.now())) {
      const endpoint = endpoints[name];
      if (endpoint === undefined) continue;
      const held = this.board.endpoints.get(name)?.holds ?? [];
      const holds = held.filter((hold) => this.isOrphan(hold));
      if (holds.length === 0) continue;
      this.logger.info("sweep", { endpoint: name, holds });
      void this.engines.release(endpoint.url, holds)();
    }
  }

  private isOrphan(hold: string): boolean {
    const owner = readOwner(hold);
    if (owner === this.self.incarnation) return false;
    const instance = readInstance(owner);
    if (instance === this.self.instance) return true;
    return isGone(this.board, instance, owner);
  }
}
