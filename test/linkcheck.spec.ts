/**
 * Checks of an instance's own link. Guards against an instance that is cut off as a witness of crashes, and against a
 * connect for each request that broke.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PassThrough } from "node:stream";
import * as E from "fp-ts/Either";
import {
  chooseOthers,
  DirectLinkChecker,
  type HistoryReader,
} from "../src/forward/tunnels/linkcheck";
import type { EndpointSocket } from "../src/forward/tunnels/openers";
import { createEntry } from "./harness/forward";

class FakeSocket extends PassThrough implements EndpointSocket {
  readonly bytesRead = 0;
}

const entries = [
  createEntry("a", "a"),
  createEntry("b", "b"),
  createEntry("c", "c"),
  createEntry("far", "far", { dataCentre: "sohar" }),
];
const NEVER = Number.NEGATIVE_INFINITY;
const neverTried = () => ({ okAt: NEVER, failedAt: NEVER });

/** Checks the link after a refusal by `a`, where the given addresses accept connections. */
function createChecker(listed: typeof entries, accepting: readonly string[]) {
  const connects: string[] = [];
  const checker = new DirectLinkChecker({
    direct: {
      open: (address) => {
        connects.push(address);
        const isOpen = accepting.includes(address);
        return Promise.resolve(
          isOpen ? E.right(new FakeSocket()) : E.left(new Error("connection refused")),
        );
      },
    },
    listEndpoints: () => listed,
    findDataCentre: (id) => entries.find((entry) => entry.id === id)?.dataCentre,
    readHistory: neverTried,
  });
  return { checker, connects };
}

describe("the endpoints by which a link is checked", () => {
  const choose = (listed: typeof entries, readHistory: HistoryReader = neverTried) =>
    chooseOthers(listed, "a", "nizwa", readHistory).map(({ id }) => id);

  it("are of the same data centre, without the one that refused", () => {
    assert.deepEqual(choose(entries), ["b", "c"]);
  });

  it("are those connected to last, and before the ones that a connect failed to", () => {
    const more = [...entries, createEntry("d", "d"), createEntry("crashed", "crashed")];
    const histories = new Map([
      ["c", { okAt: 5, failedAt: NEVER }],
      ["d", { okAt: 9, failedAt: NEVER }],
      ["crashed", { okAt: 9, failedAt: 10 }],
    ]);
    const readHistory: HistoryReader = ({ id }) => histories.get(id) ?? neverTried();
    assert.deepEqual(choose(more, readHistory), ["d", "c", "b"]);
  });

  it("are of other data centres if there is no other in the same one", () => {
    const listed = entries.filter(({ id }) => id === "a" || id === "far");
    assert.deepEqual(choose(listed), ["far"]);
  });
});

describe("a link", () => {
  it("is sound if one other endpoint accepts a connection", async () => {
    const { checker } = createChecker(entries, ["c"]);
    assert.equal(await checker.check("a"), true);
  });

  it("is not sound if no other endpoint of the data centre does", async () => {
    const { checker } = createChecker(entries, ["far"]);
    assert.equal(await checker.check("a"), false);
  });

  it("counts as sound if there is no other endpoint", async () => {
    const { checker, connects } = createChecker(entries.slice(0, 1), []);
    assert.equal(await checker.check("a"), true);
    assert.deepEqual(connects, []);
  });

  it("is checked once for all requests that broke at the same moment", async () => {
    const { checker, connects } = createChecker(entries, ["b", "c"]);
    await Promise.all(Array.from({ length: 20 }, () => checker.check("a")));
    assert.deepEqual(connects, ["b", "c"]);
    await checker.check("a");
    assert.equal(connects.length, 4);
  });
});
