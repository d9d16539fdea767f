/**
 * Releases orphaned holds: for each endpoint the instance that owns it, usually of the same data
 * centre, looks for holds whose instance is gone.
 */
import type { Blackboard } from "../board/board";
import type { Clock } from "../core/clock";
import { parseInstance, parseIncarnation } from "../core/ids";
import { isEvacuated } from "../core/config/evacuations";
import type { Logger } from "../core/log";
import { PeriodicTask, runTask } from "../core/tasks";
import type { EngineClient } from "../endpoint/engine";
import type { OwnedEndpoints } from "./ownership";
import { isIncarnationGone } from "./listpoller";
import type { InstanceIdentity } from "./membership";

const SWEEP_INTERVAL_MS = 500;

/** Releases orphaned holds on the endpoints that this instance owns. */
export class Sweeper {
  private readonly task: PeriodicTask;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly ownedEndpoints: OwnedEndpoints,
    private readonly logger: Logger,
  ) {
    this.task = new PeriodicTask("sweep holds", SWEEP_INTERVAL_MS, logger, () => {
      this.sweep();
    });
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  private sweep(): void {
    const { configuration } = this.board.config.read();
    const { endpoints } = configuration;
    for (const name of this.ownedEndpoints.list(this.clock.now())) {
      const endpoint = endpoints[name];
      if (endpoint === undefined || isEvacuated(configuration, endpoint.dataCentre)) continue;
      const held = this.board.endpoints.get(name)?.holds ?? [];
      const holds = held.filter((hold) => this.isOrphan(hold));
      if (holds.length === 0) continue;
      this.logger.info("sweep", { endpoint: name, holds });
      void runTask("release orphaned holds", this.logger, async () => {
        await this.engines.releaseHolds(endpoint.url, holds)();
      });
    }
  }

  private isOrphan(hold: string): boolean {
    const owner = parseIncarnation(hold);
    if (owner === this.self.incarnation) return false;
    const instance = parseInstance(owner);
    if (instance === this.self.instance) return true;
    return isIncarnationGone(this.board, instance, owner);
  }
}
