/**
 * Lines of the log about numbers of peers that cannot be true. Guards against a fleet of odd peers that
 * fills the log, and against a fault that comes again and is never told.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import { createNumberReport, RecordFaults } from "../src/fleet/feeds/faults";
import { Meter } from "../src/forward/requests";

const PEERS = 590;
const BEATS = 10;

describe("numbers of peers that cannot be true", () => {
  it("have a line a field and minute, are all counted, and are told again later", async () => {
    let now = 0;
    const lines: LogFields[] = [];
    const logger = {
      ...SILENT_LOGGER,
      warn: (_event: string, fields: LogFields) => lines.push(fields),
    };
    const meter = new Meter();
    const faults = new RecordFaults(logger, meter, { now: () => now });
    const sendOdd = (peers: number) => {
      for (let peer = 0; peer < peers; peer += 1) {
        const onFault = createNumberReport(faults, `n${peer}`);
        for (const field of ["sentAtMs", "fleetSize"]) onFault(field, -1);
      }
    };
    for (let beat = 0; beat < BEATS; beat += 1) sendOdd(PEERS);
    assert.deepEqual(
      lines.map(({ key }) => key),
      ["n0 sentAtMs", "n0 fleetSize"],
    );
    now += 60_000;
    sendOdd(1);
    assert.deepEqual(
      lines.slice(2).map(({ unsaid }) => unsaid),
      [5899, 5899],
    );
    assert.match(String(lines[2]?.["unsaidKeys"]), /n1 sentAtMs, n2 sentAtMs/);
    assert.match(await meter.renderMetrics(), /unusable_records_total\{topic="peers"\} 11802/);
  });
});
