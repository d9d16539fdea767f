/**
 * Connects with a timeout. Guards against late timeouts, and against a failed connect that is not recognised as proof
 * that nothing was sent.
 */
import assert from "node:assert/strict";
import { createServer, type AddressInfo, Socket } from "node:net";
import { describe, it } from "node:test";
import { Client } from "undici";
import { createConnector } from "../src/store/connector";
import { isConnectionRefused, isConnectError } from "../src/store/http";

describe("a connector", () => {
  it("gives up at its timeout with an error that proves that nothing was sent", async () => {
    const open = () => new Socket();
    const client = new Client("http://127.0.0.1:9", {
      connect: createConnector(100, undefined, open),
    });
    const startedAt = performance.now();
    const error: unknown = await client
      .request({ path: "/", method: "GET" })
      .then(() => undefined)
      .catch((reason: unknown) => reason);
    const tookMs = performance.now() - startedAt;
    assert.ok(isConnectError(error));
    assert.ok(!isConnectionRefused(error));
    assert.ok(tookMs >= 95 && tookMs < 250, `${tookMs} ms`);
    await client.destroy();
  });

  it("reports a refused connection if nothing listens on the port", async () => {
    const client = new Client("http://127.0.0.1:1", { connect: createConnector(500) });
    const error: unknown = await client
      .request({ path: "/", method: "GET" })
      .then(() => undefined)
      .catch((reason: unknown) => reason);
    assert.ok(isConnectionRefused(error) && isConnectError(error));
    await client.destroy();
  });

  it("returns connected sockets and reports each connection", async () => {
    const server = createServer((socket) => {
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok");
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    let connectCount = 0;
    const connect = createConnector(500, () => (connectCount += 1));
    const client = new Client(`http://127.0.0.1:${port}`, { connect });
    const { body } = await client.request({ path: "/", method: "GET" });
    assert.deepEqual([await body.text(), connectCount], ["ok", 1]);
    await client.destroy();
    server.close();
  });
});

describe("a connection that was established", () => {
  it("and fails as its host is unreachable does not prove that nothing was sent", async () => {
    for (const code of ["EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"]) {
      const opened = new Socket();
      const server = createServer((socket) => {
        socket.once("data", () => {
          const error = Object.assign(new Error(`read ${code}`), { code, syscall: "read" });
          opened.destroy(error);
          socket.destroy();
        });
      });
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      const { port } = server.address() as AddressInfo;
      const connect = createConnector(500, undefined, () => opened.connect(port, "127.0.0.1"));
      const client = new Client(`http://127.0.0.1:${port}`, { connect });
      const error: unknown = await client
        .request({ path: "/", method: "GET" })
        .then(() => undefined)
        .catch((reason: unknown) => reason);
      await client.destroy();
      server.close();
      assert.ok(error !== undefined);
      assert.deepEqual([isConnectError(error), isConnectionRefused(error)], [false, false], code);
    }
  });
});
