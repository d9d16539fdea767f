/**
 * Sends of one request that are open beside each other. Guards against ends that are lost or reported twice, and
 * against sends that throw unnoticed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import type { Logger } from "../src/core/log";
import { RaceEventKind, type RacingSend, SendRace } from "../src/forward/calls/sendrace";

/** A send that ends when told to. */
class StubSend implements RacingSend<string> {
  isAborted = false;
  private resolve: (result: string) => void = () => undefined;
  private reject: (error: Error) => void = () => undefined;

  run(): Promise<string> {
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
  }

  abort(): void {
    this.isAborted = true;
  }

  end(result: string): void {
    this.resolve(result);
  }

  fail(): void {
    this.reject(new Error("broken invariant"));
  }
}

function createRace() {
  const errors: string[] = [];
  const logger = { error: (event: string) => errors.push(event) } as unknown as Logger;
  return { race: new SendRace<string, StubSend>(logger), errors };
}

describe("a race of sends", () => {
  it("hands over each end once, also of sends that are added meanwhile", async () => {
    const { race } = createRace();
    const [first, second] = [new StubSend(), new StubSend()];
    race.add(first);
    const next = race.next();
    race.add(second);
    assert.deepEqual([race.isNewest(first), race.isNewest(second), race.size], [false, true, 2]);
    second.end("two");
    assert.deepEqual(await next, { kind: RaceEventKind.ended, send: second, result: "two" });
    assert.deepEqual([race.isNewest(first), race.size], [true, 1]);
    first.end("one");
    assert.deepEqual(await race.next(), { kind: RaceEventKind.ended, send: first, result: "one" });
    assert.equal(race.size, 0);
  });

  it("counts a send until its end is handed over", async () => {
    const { race } = createRace();
    const send = new StubSend();
    race.add(send);
    send.end("done");
    await pause(5);
    assert.equal(race.size, 1);
  });

  it("reports silence of an open send, and none after its end", async () => {
    const { race } = createRace();
    const send = new StubSend();
    race.add(send);
    race.watch(send, 5);
    assert.deepEqual(await race.next(), { kind: RaceEventKind.silent, send });
    race.watch(send, 5);
    send.end("done");
    assert.equal((await race.next()).kind, RaceEventKind.ended);
    const more = race.next().then(() => "more");
    assert.equal(await Promise.race([more, pause(30).then(() => "nothing")]), "nothing");
  });

  it("rejects if a send throws", async () => {
    const { race } = createRace();
    const send = new StubSend();
    race.add(send);
    send.fail();
    await assert.rejects(race.next(), /broken invariant/);
  });

  it("gives up what is open once it is closed, and logs what throws after", async () => {
    const { race, errors } = createRace();
    const [first, second] = [new StubSend(), new StubSend()];
    race.add(first);
    race.add(second);
    second.fail();
    await pause(5);
    race.close();
    first.fail();
    await pause(5);
    assert.deepEqual([first.isAborted, second.isAborted, errors.length], [true, true, 2]);
  });
});
