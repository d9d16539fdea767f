/**
 * The command `gorsefold evacuate` on a fleet of real processes. Guards against work of any kind that reaches the engines
 * of an evacuated data centre, also through an instance that starts while the log is down, against running streams that
 * are cut by it, and against callers that wait though no engine is left.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { createEvacuationChanges } from "../src/cli/evacuate";
import { isEvacuated, isUrlEvacuated, listEvacuated } from "../src/core/config/evacuations";
import { createEmptyConfiguration } from "../src/core/config/objects";
import { BarredEngineClient, BarredServiceClient } from "../src/endpoint/barred";
import type { EngineClient, PrefillRequest } from "../src/endpoint/engine";
import { type EngineError, EngineFault } from "../src/endpoint/fault";
import type { ServiceCall, ServiceClient } from "../src/endpoint/service";
import type { DecodeRequest } from "../src/endpoint/stream";
import { draft, type Seen } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause, readMachineClock } from "./standin/http";

const INSTANCES = ["nizwa-1", "nizwa-2", "bahla-1"];
const BAHLA = ["prefill-2", "decode-2"];
/** What engines record of the calls that reach them; the other records are their own. */
const CALLS = ["reserve", "refused", "prefill", "decode", "release", "order"];

describe("the change that evacuates a data centre", () => {
  const endpoint = { url: "http://a:1", dataCentre: "nizwa", role: "decode" } as const;
  const configuration = {
    ...createEmptyConfiguration(),
    dataCentres: { nizwa: { region: "west" }, bahla: { evacuated: true } },
    endpoints: { d: endpoint },
  };

  it("keeps the region, and is none if nothing is to change", () => {
    const change = (name: string, isBack: boolean) => {
      const changes = createEvacuationChanges(configuration, name, !isBack);
      return E.isRight(changes) ? changes.right.map(({ value }) => value) : "error";
    };
    assert.deepEqual(change("nizwa", false), [{ region: "west", evacuated: true }]);
    assert.deepEqual(change("nizwa", true), []);
    assert.deepEqual(change("bahla", false), []);
    assert.deepEqual(change("bahla", true), [{}]);
    assert.equal(change("toString", false), "error");
  });

  it("concerns the endpoints of the data centre", () => {
    assert.deepEqual(listEvacuated(configuration), ["bahla"]);
    assert.ok(!isUrlEvacuated(configuration, endpoint.url));
    const dataCentres = { nizwa: { evacuated: true } };
    const evacuated = { ...configuration, dataCentres };
    assert.ok(isUrlEvacuated(evacuated, endpoint.url));
    assert.ok(isEvacuated(evacuated, "nizwa") && !isEvacuated(evacuated, "bahla"));
  });
});

describe("a client that must not call an endpoint", () => {
  const calls: string[] = [];
  const record = (name: string) => (url: string) => {
    calls.push(`${name} ${url}`);
    return () => Promise.resolve(E.right(undefined as never));
  };
  const inner: EngineClient = {
    fetchReport: record("report"),
    reserve: record("reserve"),
    prefill: record("prefill"),
    releaseHolds: record("release"),
    sendOrder: record("order"),
    decode: (url) => {
      calls.push(`decode ${url}`);
      return { close: () => undefined };
    },
    close: () => Promise.resolve(),
  };
  const isBarred = (url: string) => url === "barred";
  const client = new BarredEngineClient(inner, isBarred);

  const decode = (url: string, source: string) =>
    new Promise<string | undefined>((resolve) => {
      const request = { import: { url: source, exportId: "x" } } as DecodeRequest;
      const onEnd = (error?: Error) => {
        resolve((error as EngineError | undefined)?.fault);
      };
      client.decode(url, request, { onToken: () => undefined, onEnd });
      if (url === "open" && source === "open") resolve(undefined);
    });

  it("makes none, whatever it is for, and fetches no KV cache from it", async () => {
    for (const url of ["barred", "open"]) {
      const hold = { hold: "h", owner: "o", ttlMs: 1 };
      const results = [
        await client.fetchReport(url)(),
        await client.reserve(url, hold)(),
        await client.prefill(url, {} as PrefillRequest)(),
        await client.releaseHolds(url, ["h"])(),
        await client.sendOrder(url, { fence: 1, role: "decode", models: [] })(),
      ];
      for (const result of results) assert.equal(result._tag === "Right", url === "open");
    }
    assert.equal(await decode("barred", "open"), EngineFault.unreachable);
    assert.equal(await decode("open", "barred"), EngineFault.lost);
    assert.equal(await decode("open", "open"), undefined);
    assert.deepEqual(
      calls,
      ["report", "reserve", "prefill", "release", "order", "decode"].map((name) => `${name} open`),
    );
    const services: ServiceClient = { call: record("service") };
    const call = {} as ServiceCall;
    const refused = await new BarredServiceClient(services, isBarred).call("barred", call)();
    assert.ok(E.isLeft(refused) && !refused.left.isSent);
    assert.ok(!calls.includes("service barred"));
  });
});

describe("an evacuated data centre", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet(SMALL_FLEET);
  });
  after(() => fleet.close());

  const evacuate = async (...args: readonly string[]) => {
    const { status, stderr, stdout } = await fleet.command(["evacuate", ...args, "--wait", "5"]);
    assert.equal(status, 0, `${stderr}${stdout}`);
  };
  const send = (instance: string, prompt: string, maxTokens = 5): Promise<Seen> =>
    draft({ url: fleet.url(instance), key: KEYS.large, prompt, maxTokens });
  const sendToAll = (prompt: string) =>
    Promise.all(INSTANCES.flatMap((name) => [1, 2, 3].map((at) => send(name, `${prompt} ${at}`))));
  const countCalls = () =>
    fleet.readHistory().filter(({ who, kind }) => BAHLA.includes(who) && CALLS.includes(kind))
      .length;

  it("gets nothing more, is shown in the status, and its streams go on", async () => {
    const streams = [1, 2, 3, 4].map((at) => send("bahla-1", `stream ${at}`, 150));
    await pause(800);
    await evacuate("bahla");
    const before = countCalls();
    const seen = await sendToAll("while evacuated");
    assert.ok(seen.every(({ isWhole }) => isWhole));
    assert.ok((await Promise.all(streams)).every(({ isWhole }) => isWhole));
    await pause(500);
    assert.equal(countCalls(), before);
    const { stdout } = await fleet.command(["status"]);
    assert.match(stdout, /bahla {2}evacuated {2}in force on 3 of 3 instances/);
  });

  it("gets nothing from an instance that starts while the log is down", async () => {
    await fleet.setFaults({ down: true });
    const before = countCalls();
    await fleet.kill("nizwa-2");
    await fleet.restart("nizwa-2");
    // Not the whole fleet: while the log is down, nobody takes over a duty that the instance had.
    await fleet.waitReady(["nizwa-2"]);
    const seen = await sendToAll("after a restart");
    await fleet.setFaults({ down: false });
    assert.ok(seen.every(({ isWhole }) => isWhole));
    assert.equal(countCalls(), before);
  });

  it("makes instances refuse at once as not run if no other one is left", async () => {
    await evacuate("nizwa");
    const startedAt = readMachineClock();
    const seen = await sendToAll("nowhere");
    assert.ok(readMachineClock() - startedAt < 2000);
    for (const { status, reason } of seen) assert.deepEqual([status, reason], [503, "no_endpoint"]);
    await evacuate("nizwa", "--back");
  });

  it("is used again when the evacuation is withdrawn", async () => {
    await evacuate("bahla", "--back");
    await pause(1500);
    const before = countCalls();
    const seen = await sendToAll("back again");
    assert.ok(seen.every(({ isWhole }) => isWhole));
    assert.ok(countCalls() > before);
    assert.equal((await fleet.command(["evacuate", "nowhere"])).status, 2);
  });
});
