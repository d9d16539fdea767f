/**
 * Binds gRPC servers to their addresses, and closes them.
 */
import { type Server, ServerCredentials } from "@grpc/grpc-js";

/**
 * Binds a server to an address; rejects if it cannot be bound.
 *
 * @param address - IP address and port
 * @example
 * await bindServer(server, "127.0.0.1:7001");
 */
export function bindServer(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve();
      else reject(error);
    });
  });
}

/**
 * Closes a server: waits up to `graceMs` milliseconds for running calls to end, then aborts the
 * rest.
 *
 * @example
 * await closeServer(server, 200);
 */
export function closeServer(server: Server, graceMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, graceMs);
    server.tryShutdown(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
