/**
 * The port for the platform's probes and for the status that operators see.
 */
import { createServer, type Server } from "node:http";
import type { Address } from "../core/settings";

/** What an instance says of itself. */
export interface InstanceStatus {
  readonly instance: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly configVersion: number;
  /** How long ago the log was known to hold nothing newer, in milliseconds; null where never. */
  readonly configAgeMs: number | null;
  readonly requests: number;
  readonly holds: number;
  readonly members: readonly string[];
  readonly endpoints: readonly string[];
  readonly duties: readonly string[];
  readonly keptPools: readonly string[];
  readonly eventLoopDelayP99Ms: number;
}

/** Serves probes and status. */
export class OperatorServer {
  private readonly server: Server;

  constructor(private readonly readStatus: () => InstanceStatus) {
    this.server = createServer((request, response) => {
      const status = this.readStatus();
      const path = request.url ?? "/";
      const isReady = status.isReady && !status.isDraining;
      const code =
        path === "/readyz"
          ? isReady
            ? 200
            : 503
          : path === "/livez" || path === "/status"
            ? 200
            : 404;
      response.writeHead(code, { "content-type": "application/json" });
      response.end(
        path === "/status" ? JSON.stringify(status) : JSON.stringify({ ready: isReady }),
      );
    });
  }

  /** Listens; rejects where the address cannot be had. */
  listen(address: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  close(): Promise<void> {
    this.server.closeAllConnections();
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }
}
