/**
 * Answers readiness checks and scrapes of the metrics, each at an address of its own.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Clock } from "../core/clock";
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import type { EndpointDirectory } from "../fleet/directory";
import type { StoreWatcher } from "../fleet/watcher";
import type { Meter } from "./requests";
import type { ListenAddress } from "./settings";

/** Dependencies of the status servers. */
export interface StatusParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly meter: Meter;
  readonly directory: EndpointDirectory;
  readonly watcher: StoreWatcher;
  /** Returns whether the instance is stopping; then it is not ready. */
  readonly isStopping: () => boolean;
}

/** Serves the readiness and the metrics of an instance. */
export class StatusServers {
  private readonly readyServer: Server;
  private readonly metricsServer: Server;
  private hasLoggedReady = false;

  constructor(private readonly parts: StatusParts) {
    this.readyServer = createServer((_request, response) => {
      const isReady = this.isReady();
      if (isReady) this.logReady();
      response.statusCode = isReady ? 200 : 503;
      response.end();
    });
    this.metricsServer = createServer((_request, response) => {
      void this.answerScrape(response);
    });
  }

  /** Listens at both addresses; serves no metrics if they have no address. */
  async listen(ready: ListenAddress, metrics: ListenAddress | undefined): Promise<void> {
    await Promise.all([
      listenAt(this.readyServer, ready),
      metrics === undefined ? undefined : listenAt(this.metricsServer, metrics),
    ]);
  }

  close(): void {
    this.readyServer.close();
    this.readyServer.closeAllConnections();
    this.metricsServer.close();
    this.metricsServer.closeAllConnections();
  }

  private async answerScrape(response: ServerResponse): Promise<void> {
    const { logger, meter } = this.parts;
    const isSound = await runTask("render metrics", logger, async () => {
      const text = await meter.renderMetrics();
      response.setHeader("content-type", "text/plain");
      response.end(text);
    });
    if (isSound) return;
    response.statusCode = 500;
    response.end();
  }

  private isReady(): boolean {
    const { watcher, isStopping } = this.parts;
    return !isStopping() && watcher.isComplete();
  }

  /** Logs once that the instance is ready, at the first readiness check that succeeds. */
  private logReady(): void {
    if (this.hasLoggedReady) return;
    this.hasLoggedReady = true;
    const { clock, logger, directory, watcher } = this.parts;
    logger.info("ready", {
      config: watcher.readConfigIndex()?.config.version,
      listOffset: directory.next.offset,
      sinceStartMs: Math.round(clock.now()),
    });
  }
}

function listenAt(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, resolve);
  });
}
