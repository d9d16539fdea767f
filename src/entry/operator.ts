/**
 * HTTP server for the platform's readiness and liveness probes and for the operators' status page.
 */
import { createServer, type Server } from "node:http";
import type { Address } from "../core/settings";

/** State that an instance reports on its status page. */
export interface InstanceStatus {
  readonly instance: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly configVersion: number;
  /**
   * Time since the log was last known to hold no newer record, in milliseconds; null where this was
   * never known.
   */
  readonly configAgeMs: number | null;
  readonly requests: number;
  readonly holds: number;
  readonly members: readonly string[];
  readonly endpoints: readonly string[];
  readonly duties: readonly string[];
  /** Data centres to which the instance sends nothing; an instance of an older build does not say. */
  readonly evacuated?: readonly string[];
  /** Pools that this instance schedules. */
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
      const statusCode =
        path === "/readyz"
          ? isReady
            ? 200
            : 503
          : path === "/livez" || path === "/status"
            ? 200
            : 404;
      const body = JSON.stringify(path === "/status" ? status : { ready: isReady });
      response.writeHead(statusCode, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      });
      response.end(body);
    });
  }

  /** Listens; rejects where the address cannot be bound. */
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
