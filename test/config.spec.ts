/**
 * An accepted configuration is in force at every instance within four seconds and never reverts. Guards against lost
 * or diverging versions when operators race, the log is unavailable or has trimmed its records, data centres are
 * partitioned, or instances restart.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { spawnSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { draft } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause } from "./standin/http";

const PROPAGATION_TIMEOUT_MS = 4000;
const NAMES = ["nizwa-1", "nizwa-2", "bahla-1"] as const;

describe("a configuration", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({ ...SMALL_FLEET, retention: 60 });
  });
  after(() => fleet.close());

  const readVersions = async (names: readonly string[]) =>
    Promise.all(
      names.map(async (name) => Number((await fleet.readStatus(name))?.configVersion ?? -1)),
    );
  const isInForce = (version: number, names: readonly string[]) =>
    fleet.waitFor(
      async () => (await readVersions(names)).every((seen) => seen >= version),
      PROPAGATION_TIMEOUT_MS,
    );
  const publishProbe = (value: string) => fleet.putObject("selectors", "probe", { probe: [value] });

  it("is in force at all instances within four seconds", async () => {
    const version = await publishProbe("1");
    assert.ok(await isInForce(version, NAMES));
  });

  it("is passed on by its peers to a data centre that is cut off from the log", async () => {
    fleet.proxies.get("log:bahla")?.block();
    const version = await publishProbe("2");
    const hasArrived = await isInForce(version, NAMES);
    fleet.proxies.get("log:bahla")?.unblock();
    assert.ok(hasArrived);
  });

  it("reaches a partitioned data centre, which serves meanwhile, soon after the partition heals", async () => {
    fleet.setPartitioned("bahla", true);
    await pause(1500);
    const version = await publishProbe("3");
    await pause(1000);
    const [cut = 0] = await readVersions(["bahla-1"]);
    const served = await draft({
      url: fleet.url("bahla-1"),
      key: KEYS.large,
      prompt: "served while cut off",
      maxTokens: 5,
    });
    fleet.setPartitioned("bahla", false);
    assert.ok(cut < version);
    assert.equal(served.isWhole, true);
    assert.ok(await isInForce(version, NAMES));
  });

  it("is fetched from a peer by an instance that restarts while the log is unavailable", async () => {
    const version = await publishProbe("4");
    await fleet.setFaults({ down: true });
    await fleet.kill("nizwa-2");
    await fleet.restart("nizwa-2");
    const hasArrived = await fleet.waitFor(
      async () => (await fleet.readStatus("nizwa-2"))?.isReady === true,
      12_000,
    );
    const [seen] = await readVersions(["nizwa-2"]);
    const versions = await readVersions(NAMES);
    await fleet.setFaults({ down: false });
    assert.ok(hasArrived);
    assert.equal(seen, version, `the instances had ${versions.join(", ")}`);
  });

  it("is kept when the log has trimmed its records and every instance restarts", async () => {
    let version = 0;
    for (let round = 0; round < 70; round += 1)
      version = await publishProbeObject(fleet, `many-${round}`);
    await fleet.waitFor(async () => (await countSnapshots(fleet)) > 0, 10_000);
    assert.ok((await countSnapshots(fleet)) > 0, "no snapshot was appended");
    for (const name of NAMES) await fleet.kill(name);
    for (const name of NAMES) await fleet.restart(name);
    assert.ok(await isInForce(version, NAMES));
    await fleet.waitReady();
    const seen = await draft({
      url: fleet.url("nizwa-1"),
      key: KEYS.large,
      prompt: "after all",
      maxTokens: 5,
    });
    assert.equal(seen.isWhole, true);
  });

  it("tells racing operators by exit code whether they won, and is the same everywhere", async () => {
    const run = (args: readonly string[]) => fleet.command(args);
    const current = JSON.parse((await run(["config", "show", "--json"])).stdout) as {
      configuration: Record<string, unknown>;
    };
    const document: Record<string, unknown> = { ...current.configuration, keys: undefined };
    const exits = await Promise.all(
      ["a", "b", "c", "d"].map(async (who) => {
        const file = fleet.workplace.path(`race-${who}.json`);
        const selectors = { ...(document.selectors as object), race: { who: [who] } };
        writeFileSync(file, JSON.stringify({ ...document, selectors }));
        const { status } = await run(["config", "publish", file]);
        return status;
      }),
    );
    assert.ok(exits.filter((code) => code === 0).length >= 1);
    assert.ok(
      exits.every((code) => code === 0 || code === 3),
      `exit codes ${exits.join(", ")}`,
    );
    const key = await run(["key", "create", "small", "--json", "--wait", "5"]);
    assert.equal(key.status, 0, `${key.stderr}${key.stdout}`);
    const created = JSON.parse(key.stdout) as { key: string; behind: string[] };
    assert.deepEqual(created.behind, []);
    const seen = await draft({
      url: fleet.url("bahla-1"),
      key: created.key,
      prompt: "by a new key",
      maxTokens: 3,
    });
    assert.equal(seen.isWhole, true);
    assert.equal((await run(["key", "withdraw", created.key, "--wait", "5"])).status, 0);
    const refused = await draft({
      url: fleet.url("nizwa-2"),
      key: created.key,
      prompt: "by a withdrawn key",
      maxTokens: 3,
    });
    assert.equal(refused.reason, "key_withdrawn");
    assert.match((await run(["status"])).stdout, /nizwa-1 {2}nizwa {2}ready {2}version/);
  });

  it("is not published if it is invalid or the log cannot be reached", () => {
    const main = fleet.workplace.path("main.js");
    const run = (...args: string[]) =>
      spawnSync(process.execPath, [main, ...args], { encoding: "utf8" });
    const rejected = run(
      "workspace",
      "set",
      "w",
      '{"rate":1,"burst":1,"classes":["none"]}',
      "--log",
      fleet.logUrl,
    );
    assert.equal(rejected.status, 2);
    assert.match(rejected.stderr, /at workspaces\.w\.classes\.0: found "none"; allowed: usual/);
    assert.equal(run("config", "show", "--log", "http://127.0.0.1:1").status, 5);
    assert.equal(run("config", "check", "/nowhere.json").status, 2);
    assert.equal(run("config", "frobnicate").status, 1);
  });
});

async function publishProbeObject(fleet: Fleet, value: string): Promise<number> {
  return fleet.putObject("selectors", "probe", { probe: [value] });
}

async function countSnapshots(fleet: Fleet): Promise<number> {
  const answer = await fetch(`${fleet.logUrl}/streams/control/records?from=0`);
  const page = (await answer.json()) as { records: { record: object }[] };
  return page.records.filter((item) => "foldedTo" in item.record).length;
}
