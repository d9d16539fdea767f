/**
 * What the log says of a run that goes on with a stream. Guards against a stream of two versions that no line shows.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compareVersion } from "../src/forward/generations/joinedrun";
import { createEntry } from "./harness/forward";

const ENTRY = createEntry("d1", "127.0.0.1:1", { service: "models", version: "v1" });
const ORIGIN = {
  service: "models",
  version: "v1",
  endpoint: "d1",
  processStartedAt: 1,
  beganAt: 2,
};

describe("the version of a run that goes on with a stream", () => {
  it("is compared with that of the first run", () => {
    assert.equal(compareVersion(ORIGIN, ENTRY), "same");
    assert.equal(compareVersion(ORIGIN, { ...ENTRY, version: "v2" }), "other");
    assert.equal(compareVersion(ORIGIN, { ...ENTRY, service: "others" }), "other");
  });

  it("is unknown where the engine or the first version is", () => {
    assert.equal(compareVersion(ORIGIN, undefined), "unknown");
    assert.equal(compareVersion({ ...ORIGIN, version: undefined }, ENTRY), "unknown");
    assert.equal(compareVersion(undefined, ENTRY), "unknown");
  });
});
