/**
 * Server that writes many log lines per request, for a test in which nobody reads its standard output.
 */
import { createServer } from "node:http";
import { createLogger } from "../../src/core/log";

const LINES_PER_REQUEST = 400;

const logger = createLogger("chatty", "info");
const server = createServer((_request, response) => {
  for (let line = 0; line < LINES_PER_REQUEST; line += 1) {
    logger.warn(`kind-${line % 10}`, { line, text: "x".repeat(400) });
  }
  response.end("done");
});
server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  if (typeof address === "object" && address !== null) process.send?.(address.port);
});
