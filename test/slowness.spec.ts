/**
 * Endpoints of a plain service that report their slowness to a real instance. Guards against reports that are read
 * and do not reach the choice, and against endpoints that are never tried again.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";

prepareEach();

describe("an endpoint that reports to be slow", () => {
  /** How long the endpoints take for a request, in milliseconds. */
  const USUAL_MS = 15;
  /** Requests in a row, all to endpoints that are free. */
  const REQUESTS = 60;

  /** Time of a first answer behind a new connection to a process that stood still, in milliseconds. */
  const LATE_MS = 300;

  /** @param lateFirst - the endpoint of which the first answer comes late, whatever it reports */
  async function countAnswers(
    describeSlowness: (id: string, turn: number) => number | undefined,
    lateFirst?: "a" | "b",
  ) {
    const counts = { a: 0, b: 0 };
    let turn = 0;
    for (const id of ["a", "b"] as const) {
      await addEndpoint(id, (head, socket) => {
        counts[id] += 1;
        const request = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
        const slowness = describeSlowness(id, turn);
        const load = slowness === undefined ? "0,0,6" : `0,0,6,${slowness}`;
        const headers = `x-id: ${request}\r\nx-load: ${load}\r\ncontent-length: 2`;
        setTimeout(
          () => {
            socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n\r\nok`);
          },
          counts[id] === 1 && id === lateFirst ? LATE_MS : USUAL_MS * (slowness ?? 1),
        );
      });
    }
    await start();
    for (; turn < REQUESTS; turn += 1) {
      assert.equal((await get(port, "/any/7")).status, 200);
    }
    return counts;
  }

  it("gets few requests while another is free", async () => {
    const { a, b } = await countAnswers((id) => (id === "a" ? 2.5 : 1));
    assert.ok(a >= 1 && a <= REQUESTS / 4, `${a} of ${a + b}`);
  });

  it("gets the requests once the other one is the slower", async () => {
    const { a, b } = await countAnswers((id, turn) => {
      const isSlow = turn < REQUESTS / 4 ? id === "a" : id === "b";
      return isSlow ? 2.5 : 1;
    });
    assert.ok(a > b, `${a} of ${a + b}`);
  });

  it("gets few requests while another is free of which the first answer came late", async () => {
    const { a, b } = await countAnswers((id) => (id === "a" ? 2.5 : 1), "b");
    assert.ok(a >= 1 && a <= REQUESTS / 4, `${a} of ${a + b}`);
  });

  it("gets the requests once the other one is the slower, though its first answer came late", async () => {
    const { a, b } = await countAnswers((id, turn) => {
      const isSlow = turn < REQUESTS / 4 ? id === "a" : id === "b";
      return isSlow ? 2.5 : 1;
    }, "a");
    assert.ok(a > b, `${a} of ${a + b}`);
  });

  it("changes nothing where loads are told in three figures", async () => {
    const { a, b } = await countAnswers(() => undefined);
    assert.ok(a >= REQUESTS / 5 && b >= REQUESTS / 5, `${a} of ${a + b}`);
  });
});
