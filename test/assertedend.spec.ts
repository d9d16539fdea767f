/**
 * Who asserted the end of an answer. Guards against an end that nobody asserted and that is taken for the writer's, over
 * random lives of an endpoint's processes and of what relays for it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EndProof, findEndProof, WriterState } from "../src/core/assertedend";
import { ConnectionEnder } from "../src/core/connectionender";

/** What may happen between the first byte of an unframed answer and the question that follows its end. */
const Happening = {
  writerEnds: "the writer ends the connection",
  writerDies: "the writer dies",
  nextStarts: "another process starts at the address",
  relayStops: "the relay ends the connection",
  linkBreaks: "the connection breaks",
} as const;
type Happening = (typeof Happening)[keyof typeof Happening];

/** The reference: an endpoint, its relay and the connection between them, without any knowledge of the code. */
class World {
  hasWriterEnded = false;
  endedBy: ConnectionEnder | undefined;
  private isWriterAlive = true;
  private isNextUp = false;

  play(happening: Happening): void {
    if (happening === Happening.nextStarts) this.isNextUp = !this.isWriterAlive;
    if (happening === Happening.writerDies) this.isWriterAlive = false;
    if (this.endedBy !== undefined) return;
    if (happening === Happening.relayStops) this.endedBy = ConnectionEnder.relay;
    if (happening === Happening.linkBreaks) this.endedBy = ConnectionEnder.nobody;
    if (happening === Happening.writerDies) this.endedBy = ConnectionEnder.endpoint;
    if (happening !== Happening.writerEnds || !this.isWriterAlive) return;
    this.endedBy = ConnectionEnder.endpoint;
    this.hasWriterEnded = true;
  }

  /** What a question says now. */
  ask(hasAnswer: boolean): WriterState {
    if (!this.isWriterAlive && !this.isNextUp) return WriterState.gone;
    if (!hasAnswer) return WriterState.silent;
    return this.isWriterAlive ? WriterState.alive : WriterState.replaced;
  }
}

describe("the end of an answer without a length or chunks", () => {
  it("is taken only where its writer made it", () => {
    const happenings = fc.array(fc.constantFrom(...Object.values(Happening)), { maxLength: 8 });
    const property = fc.property(happenings, fc.boolean(), (played, hasAnswer) => {
      const world = new World();
      for (const happening of played) world.play(happening);
      const { endedBy = ConnectionEnder.nobody } = world;
      const proof = findEndProof({ isFramed: false, endedBy, writer: world.ask(hasAnswer) });
      if (proof !== undefined) assert.ok(world.hasWriterEnded, played.join(", "));
    });
    fc.assert(property, { numRuns: 5000 });
  });

  it("is proved by a writer that has answered since, and by nothing else that is certain", () => {
    const proofs = Object.values(ConnectionEnder).flatMap((endedBy) =>
      Object.values(WriterState).map((writer) => ({
        endedBy,
        writer,
        proof: findEndProof({ isFramed: false, endedBy, writer }),
      })),
    );
    const endedBy = ConnectionEnder.endpoint;
    assert.deepEqual(
      proofs.filter(({ proof }) => proof !== undefined),
      [
        { endedBy, writer: WriterState.alive, proof: EndProof.writer },
        { endedBy, writer: WriterState.untold, proof: EndProof.untold },
      ],
    );
  });
});

describe("the end of an answer with a length or chunks", () => {
  it("is proved by them, whoever ended its connection", () => {
    for (const endedBy of Object.values(ConnectionEnder)) {
      for (const writer of Object.values(WriterState)) {
        const proof = findEndProof({ isFramed: true, endedBy, writer });
        assert.equal(proof, EndProof.framing);
      }
    }
  });
});
