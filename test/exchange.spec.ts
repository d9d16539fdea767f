/**
 * Which answer is to which exchange, for every order of requests and late copies on one connection. Guards against
 * an answer that is taken for another's.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import * as E from "fp-ts/Either";
import { isJoinedHead, isOwnAnswer } from "../src/forward/endpoints/exchange";
import { findNotRunEvidence } from "../src/forward/endpoints/notrun";
import { SendFailure, SendFailureKind } from "../src/forward/endpoints/sendfailure";

describe("an answer on a connection", () => {
  it("is to the request that it names, and to no other", () => {
    const named = { requestId: "r1", answeredId: "r1", isJoined: false, isRefusal: true };
    for (const isFirst of [true, false]) assert.ok(isOwnAnswer({ ...named, isFirst }));
    for (const isFirst of [true, false])
      assert.ok(!isOwnAnswer({ ...named, answeredId: "r2", isFirst }));
  });

  it("that names no request is to the first exchange only", () => {
    const unnamed = { requestId: "r1", answeredId: undefined, isJoined: false, isRefusal: false };
    assert.ok(isOwnAnswer({ ...unnamed, isFirst: true }));
    assert.ok(!isOwnAnswer({ ...unnamed, isFirst: false }));
    assert.ok(!isOwnAnswer({ ...unnamed, isFirst: true, isRefusal: true }));
  });

  it("is never taken for that of another request, whichever copies come late", () => {
    const exchange = fc.record({
      isNamed: fc.boolean(),
      isRefusal: fc.boolean(),
      lateCopyOf: fc.option(fc.nat(9)),
    });
    fc.assert(
      fc.property(fc.array(exchange, { minLength: 1, maxLength: 10 }), (exchanges) => {
        exchanges.forEach(({ isNamed, isRefusal, lateCopyOf }, index) => {
          const source = lateCopyOf === null ? index : Math.min(lateCopyOf, index);
          const answeredId = isNamed ? `r${source}` : undefined;
          const isFirst = index === 0;
          const exchanged = {
            requestId: `r${index}`,
            answeredId,
            isFirst,
            isJoined: false,
            isRefusal,
          };
          const isTaken = isOwnAnswer(exchanged);
          if (isTaken) assert.equal(source, index);
          if (isTaken && isRefusal) assert.ok(isNamed);
        });
      }),
    );
  });
});

describe("a head", () => {
  const answer = "HTTP/1.1 200 OK";
  const readId = (headers: readonly string[]) => {
    const index = headers.indexOf("x-id");
    return index < 0 ? undefined : headers[index + 1];
  };
  const isJoined = (statusText: string, headers: readonly string[]) =>
    isJoinedHead(statusText, headers, readId);

  it("is joined from two wherever the first was cut", () => {
    for (const text of [`Fu${answer}`, answer]) {
      assert.ok(isJoined(text, []), text);
      assert.ok(isJoined(text, ["x-id", "r1"]), text);
    }
    for (const value of [answer, `Sat, 05 D${answer}`, "aHTTP/1.0 503"]) {
      assert.ok(isJoined("Full", ["date", value, "x-id", "r1"]), value);
      assert.ok(isJoined("Full", ["x-id", "r1", "date", value, "x-id", "r1"]), value);
      assert.ok(isJoined("Full", ["date", value]), value);
    }
  });

  it("that speaks of HTTP is not joined", () => {
    for (const value of ["HTTP/1.1 proxy", "1.1 edge", "HTTP/2.0", "HTTP/1.1 2000", ""])
      assert.ok(!isJoined("OK", ["via", value, "x-id", "r1"]), value);
  });

  it("that quotes a status line in its id or behind it is not joined", () => {
    assert.ok(!isJoined("OK", ["x-id", "aHTTP/1.1 200", "via", "1.1 edge"]));
    assert.ok(!isJoined("OK", ["x-id", "r1", "x-upstream", answer]));
  });
});

describe("a failed send", () => {
  it("shows that its request was not run only if nothing was sent", () => {
    const kinds = Object.values(SendFailureKind);
    const shown = kinds.filter(
      (kind) => findNotRunEvidence(E.left(new SendFailure(kind, ""))) !== undefined,
    );
    assert.deepEqual(shown.sort(), ["busy", "down", "held", "unreachable"]);
    for (const kind of kinds) assert.equal(new SendFailure(kind, "").isSent, !shown.includes(kind));
  });
});
