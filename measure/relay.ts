/**
 * An idle member of a large fleet, whose cost is measured: its own network among records of all members, with two
 * relays that send it what relays send when nothing changes.
 */
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { MemberList } from "../src/fleet/members";
import { RelayNetwork, TICK_INTERVAL_MS } from "../src/fleet/relay/network";
import { RecordKind } from "../src/fleet/relay/records";
import type { RelayListener } from "../src/fleet/relay/transport";
import { RelayHeard, RelayMember, RelayMessage } from "../src/peer/gen/fleet";
import { TestHost } from "../test/harness/relayfleet";
import { range } from "./fit";

const SELF = { instance: "n0", incarnation: "n0/1", address: "n0", dataCentre: "dc0" };
const DATA_CENTRES = 6;
const RELAYS = ["n6", "n12"] as const;

/**
 * Prepares a member among others.
 *
 * @returns a function that runs one second of it
 */
export function prepareIdleMember(size: number): () => void {
  const clock = new ManualClock(1000);
  const listeners = new Map<string, RelayListener>();
  const network = new RelayNetwork({
    self: SELF,
    generation: 1,
    clock,
    logger: SILENT_LOGGER,
    transport: { openRelay: () => undefined },
    members: new MemberList(SELF, SILENT_LOGGER, clock.now()),
    faults: { report: () => undefined },
    host: new TestHost(clock),
    isLeaving: () => false,
    isStoreLost: () => false,
    listSeeds: () => [],
    random: () => 0.5,
    schedule: (_ms, run) => {
      run();
    },
  });
  const names = range(size).map((index) => `n${index}`);
  let sequence = 0;
  const send = (relay: string, more: Partial<RelayMessage>) => {
    sequence += 1;
    const head = { configVersion: 1, configAgeMs: 900, endpointsAgeMs: 900, endpointsNext: 5 };
    const keepAlive = { sequence, acknowledged: 1, sentAtMs: clock.now(), head };
    const message = { ...RelayMessage.fromPartial(keepAlive), ...more };
    const bytes = RelayMessage.encode(message).finish();
    listeners.get(relay)?.onMessage(RelayMessage.decode(bytes), bytes.length);
  };
  for (const relay of RELAYS) {
    const stream = { send: () => undefined, isWritable: () => true, close: () => undefined };
    listeners.set(relay, network.accept(stream));
    const hello = { instance: relay, incarnation: `${relay}/1`, address: relay, generation: 1 };
    const records = [...names.map(createMemberRecord), createHeardRecord(relay, names)];
    send(relay, { hello: { ...hello, dataCentre: "dc0" }, records });
  }
  return () => {
    for (let tick = 0; tick * TICK_INTERVAL_MS < 1000; tick += 1) {
      clock.advance(TICK_INTERVAL_MS);
      if (tick % 2 === 0) for (const relay of RELAYS) send(relay, {});
      network.tick();
    }
  };
}

function createMemberRecord(instance: string, index: number) {
  const member = { address: instance, dataCentre: `dc${index % DATA_CENTRES}` };
  const content = RelayMember.encode(RelayMember.fromPartial(member)).finish();
  return createRecord(instance, RecordKind.member, content);
}

function createHeardRecord(instance: string, heard: string[]) {
  return createRecord(instance, RecordKind.heard, RelayHeard.encode({ heard, lost: [] }).finish());
}

function createRecord(instance: string, kind: number, content: Uint8Array) {
  const incarnation = `${instance}/1`;
  return { instance, incarnation, generation: 1, kind, version: 1, ageMs: 0, content };
}
