/**
 * Connections to one endpoint, opened to a real server. Guards against more of them than an instance may open, and
 * against connections that remember requests without bound.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { MonotonicClock } from "../src/core/clock";
import { type Connection, MAX_REQUESTS } from "../src/forward/endpoints/connection";
import { ConnectionPool } from "../src/forward/endpoints/pool";
import { EndpointGate } from "../src/forward/limits/gate";
import { SendEnding } from "../src/forward/limits/pacing";
import type { EndpointDialer } from "../src/forward/tunnels/dialer";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import { waitUntil } from "./harness/forward";
import { RawEndpoint, writeAnswer } from "./harness/raw";
import { createTarget, DirectDialer } from "./harness/ways";

const MAX_CONNECTIONS = 4;
const KEPT = "keep-alive: timeout=5\r\n";

describe("the connections to an endpoint", () => {
  let endpoint: RawEndpoint;
  let pool: ConnectionPool;
  let requests = 0;
  const createPool = (address: string) =>
    new ConnectionPool(createTarget("a", 1, address), new DirectDialer(), new MonotonicClock());

  beforeEach(async () => {
    requests = 0;
    endpoint = new RawEndpoint((_head, socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${KEPT}content-length: 2\r\n\r\nok`);
    });
    pool = createPool(await endpoint.listen());
  });
  afterEach(() => {
    pool.close();
    endpoint.close();
  });

  const acquire = (needsNewConnection = false): Connection => {
    requests += 1;
    const request = { id: `r${requests}`, needsNewConnection, maxConnections: MAX_CONNECTIONS };
    const connection = pool.acquireForRequest(request);
    assert.ok(connection !== undefined);
    return connection;
  };
  const exchange = async (connection: Connection): Promise<void> => {
    const response = await connection.client.request({ method: "GET", path: "/" });
    await response.body.text();
  };
  const exchangeTogether = async (needsNewConnection: boolean): Promise<void> => {
    const connections = Array.from({ length: MAX_CONNECTIONS }, () => acquire(needsNewConnection));
    await Promise.all(connections.map(exchange));
    for (const connection of connections) pool.release(connection);
  };

  it("stay within the maximum while requests need new ones beside idle ones", async () => {
    for (const needsNew of [false, true, true]) {
      await exchangeTogether(needsNew);
      await waitUntil(() => endpoint.sockets.size <= MAX_CONNECTIONS, 500);
    }
    assert.equal(endpoint.sockets.size, MAX_CONNECTIONS);
  });

  it("give way to calls of the router's own, which take none from requests", async () => {
    await exchangeTogether(false);
    const calls = Array.from({ length: MAX_CONNECTIONS }, () => pool.openForCall());
    await Promise.all(calls.map(exchange));
    await waitUntil(() => endpoint.sockets.size <= MAX_CONNECTIONS, 500);
    assert.equal(acquire().isAlive, false, "a new connection, which opens with its request");
    for (const call of calls) pool.discard(call);
  });

  it("that are opened anew under a request are bound by that request and their own socket alone", async () => {
    const peersAllowed: (boolean | undefined)[] = [];
    const dialer = new DirectDialer();
    const recorder: EndpointDialer = {
      dial: (target, { mayUsePeer }) => {
        peersAllowed.push(mayUsePeer?.("p1"));
        return dialer.dial(target);
      },
      canReuse: () => true,
      checkDirect: () => undefined,
      close: () => undefined,
    };
    pool = new ConnectionPool(
      createTarget("a", 1, endpoint.address),
      recorder,
      new MonotonicClock(),
    );
    const acquireFor = (id: string, mayUsePeer: () => boolean) => {
      const request = {
        id,
        needsNewConnection: false,
        maxConnections: MAX_CONNECTIONS,
        mayUsePeer,
      };
      return pool.acquireForRequest(request);
    };
    const first = acquireFor("one", () => true);
    assert.ok(first !== undefined);
    await exchange(first);
    pool.release(first);
    const second = acquireFor("two", () => false);
    assert.equal(second, first);
    for (const socket of endpoint.sockets) socket.write("HTTP/1.1 503 Full\r\n\r\n");
    await waitUntil(() => !first.isAlive);
    await exchange(first);
    assert.deepEqual(peersAllowed, [true, false]);
    assert.deepEqual([first.hasCarried("one"), first.hasCarried("two")], [false, true]);
    assert.ok(first.isFirstExchange && !first.isBroken);
    assert.equal(await first.waitForStrayBytes(), false);
  });

  it("are used again, each for a bounded number of requests", async () => {
    const used = new Set<Connection>();
    for (let turn = 0; turn < MAX_REQUESTS + 1; turn += 1) {
      const connection = acquire();
      used.add(connection);
      await exchange(connection);
      pool.release(connection);
    }
    assert.equal(used.size, 2);
  });
});

describe("a foreign answer", () => {
  prepareEach();

  it("closes the other idle connections to its endpoint, which may hold late copies too", async () => {
    const answered: Socket[] = [];
    const endpoint = await addEndpoint("a", (head, socket) => {
      if (head.includes("/once/foreign")) {
        socket.write("HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 0\r\n\r\n");
        return;
      }
      answered.push(socket);
      const write = () => {
        writeAnswer(socket, head, "sheet");
      };
      setTimeout(write, 50);
    });
    await start();
    await Promise.all([1, 2, 3].map((sheet) => get(port, `/once/${sheet}`)));
    assert.equal(new Set(answered).size, 3);
    assert.equal((await get(port, "/once/foreign")).status, 502);
    await waitUntil(() => endpoint.sockets.size === 0, 150);
  });

  it("does not say that its endpoint has no room, or answers in time", async () => {
    const recordSend = mock.method(EndpointGate.prototype, "recordSend");
    const statuses = ["503 Full", "200 OK"];
    await addEndpoint("a", (_head, socket) => {
      writeAnswer(socket, "x-id: another", "", statuses.shift());
    });
    await start();
    for (let turn = 0; turn < 2; turn += 1) assert.equal((await get(port, "/once/7")).status, 502);
    const endings = recordSend.mock.calls.map(({ arguments: [send] }) => send.ending);
    recordSend.mock.restore();
    assert.deepEqual(endings, [SendEnding.aborted, SendEnding.aborted]);
  });
});
