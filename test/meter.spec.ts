/**
 * Metrics as scrapers read them. Guards against wrong units or labels, and against series of removed endpoints that
 * accumulate.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Meter, RequestOutcome } from "../src/forward/requests/meter";

describe("metrics", () => {
  it("record requests and sends with their labels, in seconds", async () => {
    const meter = new Meter();
    meter.recordRequest("sheets", 2, RequestOutcome.answered, 120);
    meter.recordSend({ service: "app", endpoint: "a-1", outcome: "answered" }, 80);
    meter.refusals.inc({ reason: "overloaded" });
    meter.addGauge("live_instances", "Instances", () => 8);
    const text = await meter.renderMetrics();
    const labels = 'route="sheets",priority="2",outcome="answered"';
    assert.ok(text.includes(`gorsefold_request_duration_seconds_sum{${labels}} 0.12`));
    assert.ok(text.includes('le="0.25",route="sheets"'));
    assert.ok(text.includes('gorsefold_refusals_total{reason="overloaded"} 1'));
    assert.ok(text.includes("gorsefold_live_instances 8"));
    assert.match(text, /gorsefold_send_duration_seconds_count\{.*endpoint="a-1".*\} 1/);
  });

  it("drop the series of endpoints that are no longer listed, and no others", async () => {
    const meter = new Meter();
    for (let index = 0; index < 200; index += 1) {
      meter.recordSend({ service: "app", endpoint: `a-${index}`, outcome: "answered" }, 1);
      meter.recordSend({ service: "app", endpoint: `a-${index}`, outcome: "not run" }, 1);
    }
    meter.prune((endpoint) => endpoint === "a-7");
    const text = await meter.renderMetrics();
    assert.equal([...text.matchAll(/send_duration_seconds_count\{/g)].length, 2);
    assert.ok(text.includes('endpoint="a-7"'));
  });
});
