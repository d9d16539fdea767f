/**
 * The few endpoints that an instance of a large fleet prefers. Guards against endpoints that are left without
 * work, changes of all subsets with one endpoint, requests that wait or fail at a subset while others are free,
 * and changes for small fleets.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { comparePlainPolicies } from "../measure/load/plainplays";
import { chooseEndpoint } from "../src/forward/calls/balancer";
import { CallOutcome, HealthTracker } from "../src/forward/endpoints/health";
import { computeSubsetSize, EndpointSubsets } from "../src/forward/endpoints/subset";
import { createEntry } from "./harness/forward";

const SERVICE = "job-sheets";

function createEntries(count: number) {
  return Array.from({ length: count }, (_, index) =>
    createEntry(`e${index}`, `e${index}:1`, { slots: 6, dataCentre: "nizwa" }),
  );
}

function findSubset(instance: string, count: number, instances: number) {
  const subsets = new EndpointSubsets(instance, "nizwa", () => instances);
  return subsets.find(SERVICE, createEntries(count));
}

describe("the subset of an instance", () => {
  it("is all endpoints in a small fleet, and where there are few endpoints", () => {
    assert.equal(findSubset("i", 48, 16), undefined);
    assert.equal(findSubset("i", 2, 72), undefined);
    assert.equal(findSubset("i", 6, 72)?.size, 2);
    assert.equal(computeSubsetSize(5000, 590), 34);
  });

  it("gives each endpoint several instances that prefer it", () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 72; index += 1) {
      for (const id of findSubset(`i${index}`, 8, 72) ?? [])
        counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    assert.equal(counts.size, 8);
    for (const [id, count] of counts) assert.ok(count >= 8, `${id}: ${count}`);
  });

  it("loses at most one endpoint when one is removed or added", () => {
    for (let index = 0; index < 72; index += 1) {
      const before = findSubset(`i${index}`, 8, 72) ?? new Set();
      const after = findSubset(`i${index}`, 9, 72) ?? new Set();
      assert.ok([...before].filter((id) => !after.has(id)).length <= 1);
    }
  });
});

describe("an endpoint outside the subset", () => {
  const entries = createEntries(4);
  const choose = (health: HealthTracker, now: number) =>
    chooseEndpoint(
      entries.map((endpoint, index) => ({
        endpoint,
        health: health.readView(endpoint.id, now),
        isInDoubt: false,
        isLimited: false,
        isOutsideSubset: index >= 2,
      })),
      "nizwa",
      new Set(),
      () => 0,
    )?.endpoint.id ?? "";

  it("gets a request before one of the subset has to queue", () => {
    const health = new HealthTracker();
    assert.ok(["e0", "e1"].includes(choose(health, 0)));
    const counts = new Map<string, number>();
    for (let turn = 0; turn < 16; turn += 1) {
      const id = choose(health, turn);
      counts.set(id, (counts.get(id) ?? 0) + 1);
      health.beginCall(id, turn);
    }
    for (const { id } of entries) assert.ok((counts.get(id) ?? 0) <= 6, `${id} has a slot left`);
    assert.ok((counts.get("e2") ?? 0) > 0);
  });

  it("gets a request where those of the subset fail, are full or can't be reached", () => {
    const outcomes = [CallOutcome.unreachable, CallOutcome.full];
    for (const outcome of outcomes) {
      const health = new HealthTracker();
      for (const id of ["e0", "e1"]) health.beginCall(id, 0).end(outcome, 1);
      assert.ok(["e2", "e3"].includes(choose(health, 2)), outcome);
    }
  });
});

describe("72 instances in front of a plain service", () => {
  it("open few connections, and answer more on time than by load alone", () => {
    const rows = comparePlainPolicies(2);
    const find = (load: string, policy: string) => {
      const row = rows.find((item) => item.load === load && item.policy === policy);
      assert.ok(row);
      return row;
    };
    for (const load of ["3 endpoints", "12 endpoints", "40 endpoints"]) {
      const usual = find(load, "usual");
      assert.ok(usual.connectionsPerRequest <= 0.4, load);
      assert.ok(usual.onTime > find(load, "by load alone").onTime, load);
      assert.ok(usual.onTime > find(load, "all endpoints").onTime - 0.005, load);
    }
    const { connectionsPerRequest } = find("40 endpoints", "by load alone");
    assert.ok(find("40 endpoints", "usual").connectionsPerRequest < connectionsPerRequest / 2);
  });
});
