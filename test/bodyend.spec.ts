/**
 * What the end of a connection proves of a body that it delimits. Guards against a cut one that counts as whole, and
 * against sound ones that wait.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ConnectionEnder } from "../src/core/connectionender";
import { BodyEnd, classifyBodyEnd, findDecisionMoment } from "../src/core/bodyend";

const ENDED_AT = 10_000;
const SMALL = 300;
const LARGE = 200_000;

describe("the end of a connection", () => {
  it("is decided on at once if the request was small or was sent long ago", () => {
    const small = { requestBytes: SMALL, untakenBytes: 0, sentAt: ENDED_AT, endedAt: ENDED_AT };
    assert.equal(findDecisionMoment(small), ENDED_AT);
    const old = { ...small, requestBytes: LARGE, sentAt: ENDED_AT - 1000 };
    assert.equal(findDecisionMoment(old), ENDED_AT);
  });

  it("is decided on a moment later if an upload is under way or just was", () => {
    const just = { requestBytes: LARGE, untakenBytes: 0, sentAt: ENDED_AT - 60, endedAt: ENDED_AT };
    const underWay = { ...just, untakenBytes: 1, sentAt: Number.NEGATIVE_INFINITY };
    for (const ended of [just, underWay]) assert.equal(findDecisionMoment(ended), ENDED_AT + 50);
  });

  it("is one of a whole body only if the other side is known and has taken the request", () => {
    const { endpoint: endedBy, nobody, relay } = ConnectionEnder;
    const proper = { hasPeer: true, isClosedHere: false, untakenBytes: 0, endedBy };
    assert.equal(classifyBodyEnd(proper), BodyEnd.whole);
    assert.equal(classifyBodyEnd({ ...proper, hasPeer: false }), BodyEnd.reset);
    assert.equal(classifyBodyEnd({ ...proper, untakenBytes: 1 }), BodyEnd.untaken);
    assert.equal(classifyBodyEnd({ ...proper, hasPeer: false, isClosedHere: true }), BodyEnd.whole);
    for (const other of [nobody, relay]) {
      assert.equal(classifyBodyEnd({ ...proper, endedBy: other }), BodyEnd.unasserted);
    }
  });

  it("is never waited for without end, and never whole with bytes that were not taken", () => {
    const anyEnd = fc.record({
      requestBytes: fc.nat(),
      untakenBytes: fc.nat(),
      sentAt: fc.double({ noNaN: true, max: ENDED_AT }),
      endedAt: fc.constant(ENDED_AT),
    });
    const anyEnder = fc.constantFrom(...Object.values(ConnectionEnder));
    fc.assert(
      fc.property(
        anyEnd,
        fc.boolean(),
        fc.boolean(),
        anyEnder,
        (ended, hasPeer, isClosedHere, endedBy) => {
          const decideAt = findDecisionMoment(ended);
          assert.ok(decideAt >= ENDED_AT && decideAt <= ENDED_AT + 50);
          const { untakenBytes } = ended;
          const end = classifyBodyEnd({ hasPeer, isClosedHere, untakenBytes, endedBy });
          const isSound = untakenBytes === 0 && (hasPeer || isClosedHere);
          assert.equal(end === BodyEnd.whole, isSound && endedBy === ConnectionEnder.endpoint);
        },
      ),
    );
  });
});
