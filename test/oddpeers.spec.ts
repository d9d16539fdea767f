/**
 * State of other instances that relays carry, as a faulty or a newer build may write it. Guards against
 * a record that ends the process which receives it, and each one that it is passed on to.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { MemberList } from "../src/fleet/members";
import { RelayNetwork } from "../src/fleet/relay/network";
import { RecordKind } from "../src/fleet/relay/records";
import {
  Beat,
  RelayMember,
  RelayMessage,
  RelayRecord,
  RelayReport,
  RelayScope,
} from "../src/peer/gen/fleet";
import { TestHost } from "./harness/relayfleet";

const SELF = { instance: "n0", incarnation: "n0/1", address: "n0", dataCentre: "dc0" };
const NEIGHBOURS = ["n1", "n2"] as const;
/** A tag that has no end, and text that is longer than its message. */
const MALFORMED = [
  [255, 255, 255],
  [0x0a, 0x7f, 0x00],
] as const;

/** Whose records the second neighbour gets: this instance's own, and both that the first one sent. */
const OWNERS = new Set(["n0", "n7", "n8"]);

/** An instance with two neighbours. */
class Scene {
  readonly faults: string[] = [];
  readonly passedOn: RelayRecord[] = [];
  readonly host: TestHost;
  private readonly clock = new ManualClock(1000);
  private readonly network: RelayNetwork;
  private readonly listener;
  private sequence = 0;

  constructor() {
    this.host = new TestHost(this.clock);
    this.network = new RelayNetwork({
      self: SELF,
      generation: 1,
      clock: this.clock,
      logger: SILENT_LOGGER,
      transport: { openRelay: () => undefined },
      members: new MemberList(SELF, SILENT_LOGGER, this.clock.now()),
      faults: {
        report: (_topic, { key }) => {
          this.faults.push(key);
        },
      },
      host: this.host,
      isLeaving: () => false,
      isStoreLost: () => false,
      listSeeds: () => [],
      random: () => 0.5,
      schedule: (_ms, run) => {
        run();
      },
    });
    const [from, to] = NEIGHBOURS.map((name) => this.accept(name));
    assert.ok(from !== undefined && to !== undefined);
    this.listener = from;
  }

  /** Has the first neighbour send a record; ticks. */
  receive(kind: number, content: Uint8Array, version: number, generation = 1): void {
    this.receiveRecord({ kind, content, version, generation });
  }

  /** The same, of a record and a message with numbers of its own. */
  receiveRecord(record: Partial<RelayRecord>, message: Partial<RelayMessage> = {}): void {
    const sound = RelayRecord.fromPartial({ instance: "n7", incarnation: "n7/1", generation: 1 });
    this.send(this.listener, { ...message, records: [{ ...sound, ...record }] });
    this.clock.advance(1);
    this.network.tick();
  }

  /** Has the first neighbour, which is a member, report its load. */
  report(report: Partial<RelayReport>): void {
    const scope = RelayScope.RELAY_SCOPE_INSTANCE;
    this.send(this.listener, { report: RelayReport.fromPartial({ scope, ...report }) });
    this.clock.advance(250);
    this.network.tick();
  }

  private accept(name: string) {
    const stream = {
      send: (bytes: Uint8Array) => {
        if (name === "n2") this.passedOn.push(...RelayMessage.decode(bytes).records);
      },
      isWritable: () => true,
      close: () => undefined,
    };
    const listener = this.network.accept(stream);
    const hello = { instance: name, incarnation: `${name}/1`, address: name, dataCentre: "dc0" };
    this.send(listener, { hello: { ...hello, generation: 1 } });
    return listener;
  }

  private send(listener: ReturnType<RelayNetwork["accept"]>, content: Partial<RelayMessage>): void {
    this.sequence += 1;
    const message = { ...RelayMessage.fromPartial({ sequence: this.sequence }), ...content };
    listener.onMessage(message, 100);
  }
}

describe("a record of a peer that cannot be decoded", () => {
  it("costs itself alone, and is not passed on", () => {
    const scene = new Scene();
    let version = 0;
    for (const kind of Object.values(RecordKind)) {
      for (const content of MALFORMED)
        scene.receive(kind, Uint8Array.from(content), (version += 1));
    }
    assert.ok(scene.faults.length > 0);
    assert.ok(!scene.passedOn.some(({ instance }) => instance === "n7"));
    const sound = Beat.encode(Beat.fromPartial({ refused: ["n9"] })).finish();
    scene.receive(RecordKind.limits, sound, version + 1);
    assert.ok(scene.host.heardRefusals.has("n9"));
    assert.ok(scene.passedOn.some(({ instance }) => instance === "n7"));
  });

  it("never throws, whatever its bytes are", () => {
    const scene = new Scene();
    let version = 0;
    const kinds = fc.constantFrom(...Object.values(RecordKind), 99);
    fc.assert(
      fc.property(kinds, fc.uint8Array(), (kind, content) => {
        scene.receive(kind, content, (version += 1));
      }),
    );
  });
});

describe("a number of a peer that cannot be true", () => {
  const sound = Beat.encode(Beat.fromPartial({ refused: ["n9"] })).finish();
  const kind = RecordKind.limits;

  it("does not stop the records that are passed on: the oldest age that a message can have", () => {
    const scene = new Scene();
    const content = sound;
    const { speeds: kind } = RecordKind;
    scene.receiveRecord({ kind, content, version: 1, ageMs: 2 ** 32 - 1 });
    scene.receiveRecord({ instance: "n8", incarnation: "n8/1", kind, content, version: 2 });
    assert.deepEqual(new Set(scene.passedOn.map(({ instance }) => instance)), OWNERS);
  });

  it("does not stop the records that are passed on: the time at which a message was sent", () => {
    for (const sentAtMs of [NaN, Infinity, -Infinity, 1e300, -1e300]) {
      const scene = new Scene();
      const message = { acknowledged: 1, sentAtMs };
      scene.receiveRecord({ kind, content: sound, version: 1 }, message);
      const record = { instance: "n8", incarnation: "n8/1", kind, content: sound, version: 2 };
      scene.receiveRecord(record);
      assert.deepEqual(new Set(scene.passedOn.map(({ instance }) => instance)), OWNERS);
      assert.deepEqual(scene.faults, ["n1 sentAtMs"]);
    }
  });

  it("does not spoil the sum of what workspaces used: a cost in a report", () => {
    const scene = new Scene();
    const member = RelayMember.encode({ ...SELF, address: "n1", leaving: false, storeLost: false });
    const record = { instance: "n1", incarnation: "n1/1", kind: RecordKind.member, version: 1 };
    scene.receiveRecord({ ...record, content: member.finish() });
    const tell = (cost: number) => {
      scene.report({ whole: true, usages: [{ workspace: "w", cost }] });
    };
    for (const cost of [100, NaN, Infinity, 1e300, -1e300, 130]) tell(cost);
    assert.equal(scene.host.peerLoad.usages.get("w"), 30);
  });

  it("costs its record alone: the highest generation or version of a record, or a negative one", () => {
    const scene = new Scene();
    const own = { instance: "n0", incarnation: "n0/0", kind, content: sound, version: 1 };
    scene.receiveRecord({ ...own, generation: Number.MAX_SAFE_INTEGER });
    const other = { incarnation: "n7/0", kind, content: sound, version: 1 };
    for (const odd of [Number.MAX_SAFE_INTEGER, -1]) {
      scene.receiveRecord({ ...other, generation: odd });
      scene.receiveRecord({ ...other, version: odd });
    }
    scene.receiveRecord({ kind, content: sound, version: 1 });
    scene.receiveRecord({ kind: RecordKind.refusals, content: sound, version: 2 });
    const passedOn = scene.passedOn.map(({ instance, version }) => `${instance} ${version}`);
    assert.deepEqual(new Set(passedOn.slice(-2)), new Set(["n7 1", "n7 2"]));
    assert.deepEqual(new Set(scene.faults), new Set(["n1 generation", "n1 version"]));
  });
});
