/**
 * Streams whose origins were not stored, as the instance that began them took its version for the only one by an old
 * copy of the list, and that are taken up after all instances were killed. Guards against a stream that then goes on at
 * another version: what is not stored must be no proof.
 */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { OriginPublisher } from "../src/forward/shared/originpublisher";
import { createEntry } from "./harness/forward";
import { SERVICE, WatchingInstance } from "./harness/watching";

const STREAM_MS = 16_000;
/** Number of entries that prove more than the time of a stream. */
const PROVING_ENTRIES = 20;

/** An engine of the newer version writes its first entry. */
function join({ feed }: WatchingInstance): void {
  const entry = createEntry("e1", "e1:1", { service: SERVICE, version: "v2", sequence: 1 });
  feed.put("e1", Buffer.from(JSON.stringify(entry)));
}

describe("a stream whose origin was not stored by an old copy of the list", () => {
  let first: WatchingInstance;
  let sent: string[];
  let publisher: OriginPublisher;

  beforeEach(() => {
    first = new WatchingInstance();
    sent = [];
    for (let entry = 0; entry < PROVING_ENTRIES; entry += 1) {
      first.put("d1", "v1");
      first.watch(1);
    }
    publisher = new OriginPublisher({
      versionHistory: first.versionHistory,
      computeStreamMs: () => STREAM_MS,
      listWriters: () => ["n1"],
      send: (_writer, { origin }) => sent.push(origin.endpoint),
      clock: first.clock,
    });
  });

  /** Begins a stream at the first instance, and takes it up at one that has just started. */
  async function takeUpAfterKill(endpoint: string, version: string) {
    publisher.publish(first.createOrigin(endpoint, version));
    publisher.maintain();
    const restarted = new WatchingInstance(first.feed);
    restarted.watch(1);
    return restarted.takeUp();
  }

  it("goes on at the version that the store's history proves to be the only one", async () => {
    assert.equal(await takeUpAfterKill("d1", "v1"), "v1");
    assert.deepEqual(sent, []);
  });

  it("is refused if another version joined since the copy was read", async () => {
    join(first);
    first.clock.advance(2900);
    assert.equal((await takeUpAfterKill("d1", "v1"))[0], 503);
    assert.deepEqual(sent, [], "not stored");
  });

  it("is refused if another version came and went between lists of a peer", async () => {
    join(first);
    first.feed.put("e1", undefined);
    first.copyList(false);
    first.watch(1);
    assert.equal((await takeUpAfterKill("d1", "v1"))[0], 503);
  });

  it("is refused if it began at a version that the copy did not name", async () => {
    join(first);
    first.feed.put("e1", undefined);
    first.clock.advance(500);
    assert.equal((await takeUpAfterKill("e1", "v2"))[0], 503);
    assert.deepEqual(sent, [], "not stored");
  });

  it("is refused if the store no longer has the records of the other version", async () => {
    join(first);
    first.feed.put("e1", undefined);
    first.copyList(false);
    first.feed.first = first.feed.next.offset;
    assert.equal((await takeUpAfterKill("e1", "v2"))[0], 503);
  });
});
