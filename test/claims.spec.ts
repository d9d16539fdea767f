/**
 * Of all claims to one call one wins, the same for every reader, and its answer is recorded once. Guards against two
 * instances that both run a call, whatever the order of claims, answers and releases in the log.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { Claims } from "../src/core/claims";

const id = fc.constantFrom("a", "b", "c");
const record = fc.oneof(
  id.map((claimId) => ({ id: claimId, claim: "call", digest: "d" })),
  id.map((claimId) => ({
    id: `o${claimId}`,
    outcomeOf: "call",
    claimId,
    status: 200,
    body: claimId,
    type: "text/plain",
  })),
  id.map((claimId) => ({ id: `r${claimId}`, released: "call", claimId })),
  fc.constant({ nonsense: true }),
);

describe("claims", () => {
  it("never change winner once answered, and record only the answer of the winner", () => {
    fc.assert(
      fc.property(fc.array(record, { maxLength: 20 }), (records) => {
        const claims = new Claims();
        const released = new Set<string>();
        let answered: string | undefined;
        for (const item of records) {
          claims.fold(item);
          const state = claims.find("call");
          if ("released" in item && answered === undefined) released.add(item.claimId);
          if (answered !== undefined) assert.equal(state?.claimId, answered);
          if (state?.response !== undefined) {
            assert.equal(state.response.body, state.claimId);
            answered = state.claimId;
          }
        }
      }),
      { numRuns: 2000 },
    );
  });

  it("ignore a claim whose release precedes it in the log", () => {
    const claims = new Claims();
    claims.fold({ id: "r", released: "call", claimId: "a" });
    claims.fold({ id: "a", claim: "call", digest: "d" });
    assert.equal(claims.find("call"), undefined);
    claims.fold({ id: "b", claim: "call", digest: "d" });
    assert.equal(claims.find("call")?.claimId, "b");
  });
});
