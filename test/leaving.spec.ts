/**
 * A leaving endpoint gets no new work after three seconds, a graceful shutdown breaks no request, and orders come from
 * one controller at a time. Guards against work that is lost with an endpoint or instance that leaves, and against
 * orders of a controller that was paused past its lease.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { draft, type Seen } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause, readMachineClock } from "./standin/http";

const LEAVING_TIMEOUT_MS = 3000;

describe("leaving", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet(SMALL_FLEET);
  });
  after(() => fleet.close());

  const sendTraffic = async (
    names: readonly string[],
    forMs: number,
    maxTokens: number,
  ): Promise<Seen[]> => {
    const calls: Promise<Seen>[] = [];
    const end = readMachineClock() + forMs;
    for (let index = 0; readMachineClock() < end; index += 1) {
      const url = fleet.url(names[index % names.length] ?? "");
      calls.push(draft({ url, key: KEYS.large, prompt: `leaving ${index}`, maxTokens }));
      await pause(40);
    }
    return Promise.all(calls);
  };
  const listNewWork = (engine: string, since: number) =>
    fleet
      .readHistory()
      .filter(
        (event) =>
          event.who === engine &&
          event.at > since &&
          ["reserve", "prefill", "run"].includes(event.kind),
      );

  it("an endpoint that the list calls leaving gets no new work after three seconds", async () => {
    const calls = sendTraffic(["nizwa-1", "nizwa-2", "bahla-1"], 6000, 10);
    await pause(500);
    await fleet.setListed("decode-1", true, "leaving");
    const since = readMachineClock() + LEAVING_TIMEOUT_MS;
    const seen = await calls;
    await fleet.setListed("decode-1", true, "live");
    assert.equal(listNewWork("decode-1", since).length, 0);
    assert.equal(seen.filter((item) => !item.isWhole).length, 0);
  });

  it("an endpoint that reports draining itself gets no new work after three seconds, though the list lags", async () => {
    await pause(1500);
    const calls = sendTraffic(["nizwa-1", "nizwa-2", "bahla-1"], 5000, 10);
    await pause(500);
    fleet.signal("decode-2", "SIGTERM");
    const since = readMachineClock() + LEAVING_TIMEOUT_MS;
    const seen = await calls;
    await fleet.kill("decode-2");
    await fleet.restart("decode-2");
    assert.equal(listNewWork("decode-2", since).length, 0);
    assert.equal(seen.filter((item) => !item.isWhole).length, 0);
  });

  it("an instance that is told to stop completes all accepted requests, long streams included, and exits with 0", async () => {
    await pause(2000);
    const long = Array.from({ length: 6 }, (_, index) =>
      draft({
        url: fleet.url("nizwa-2"),
        key: KEYS.large,
        prompt: `long ${index}`,
        maxTokens: 300,
      }),
    );
    const calls = sendTraffic(["nizwa-2"], 250, 60);
    await pause(200);
    fleet.signal("nizwa-2", "SIGTERM");
    await pause(100);
    const ready = await fleet.readStatus("nizwa-2");
    const seen = [...(await calls), ...(await Promise.all(long))];
    const code = await fleet.processes.get("nizwa-2")?.exited;
    assert.equal(ready?.isDraining, true);
    assert.deepEqual(
      seen.filter((item) => !item.isWhole),
      [],
    );
    assert.equal(code, 0);
    assert.deepEqual(
      (await fleet.readHolds()).filter((hold) => hold.startsWith("nizwa-2/")),
      [],
    );
    await fleet.restart("nizwa-2");
    await fleet.waitReady();
  });

  it("orders bring an endpoint into its configured state, with increasing fencing numbers", async () => {
    const before = readMachineClock();
    await fleet.putObject("models", "second", {});
    const endpoint = await readEndpoint(fleet, "decode-1");
    await fleet.putObject("endpoints", "decode-1", {
      ...endpoint,
      models: ["drafter", "second"],
      pool: "drafter",
    });
    const listOrders = () =>
      fleet
        .readHistory()
        .filter((event) => event.kind === "order" && event.who === "decode-1" && event.at > before);
    assert.ok(await fleet.waitFor(() => listOrders().length > 0));
    const first = listOrders()[0];
    assert.deepEqual([first?.models, first?.stale], [["drafter", "second"], false]);
    const controller = await findDutyOwner(fleet, "controller of nizwa");
    fleet.signal(controller, "SIGSTOP");
    await pause(9500);
    await fleet.putObject("endpoints", "decode-1", {
      ...endpoint,
      models: ["drafter"],
      pool: "drafter",
    });
    await fleet.putObject("endpoints", "decode-1", {
      ...endpoint,
      models: ["second", "drafter"],
      pool: "drafter",
    });
    fleet.signal(controller, "SIGCONT");
    await pause(2500);
    const fences = listOrders().map((event) => Number(event.fence));
    assert.deepEqual(
      fences,
      [...fences].sort((a, b) => a - b),
    );
    const leases = await listLeases(fleet, "nizwa");
    assert.ok(
      fences.every((fence) => leases.has(fence)),
      "an order was sent without a lease",
    );
    assert.notEqual(await findDutyOwner(fleet, "controller of nizwa"), controller);
  });
});

async function readEndpoint(fleet: Fleet, name: string): Promise<object> {
  const answer = await fetch(`${fleet.logUrl}/streams/control/records?from=0`);
  const page = (await answer.json()) as {
    records: { record: { changes?: { kind: string; name: string; value: object }[] } }[];
  };
  const found = page.records
    .flatMap((item) => item.record.changes ?? [])
    .find((change) => change.kind === "endpoints" && change.name === name);
  return found?.value ?? {};
}

/** Reads the offsets of the records that grant the controller lease of a data centre; these are its fencing tokens. */
async function listLeases(fleet: Fleet, dataCentre: string): Promise<ReadonlySet<number>> {
  const answer = await fetch(`${fleet.logUrl}/streams/control/records?from=0`);
  const page = (await answer.json()) as {
    records: { offset: number; record: { duty?: string; dataCentre?: string } }[];
  };
  const leases = page.records.filter(
    ({ record }) => record.duty === "controller" && record.dataCentre === dataCentre,
  );
  return new Set(leases.map((item) => item.offset));
}

async function findDutyOwner(fleet: Fleet, duty: string): Promise<string> {
  let found = "";
  await fleet.waitFor(async () => {
    for (const name of fleet.callerPorts.keys()) {
      const status = await fleet.readStatus(name);
      if (((status?.duties ?? []) as string[]).includes(duty)) found = name;
    }
    return found !== "";
  });
  return found;
}
