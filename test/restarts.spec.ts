/**
 * Engines that restart under the same id and at the same address. Guards against a hold or a handle of the process
 * before, which at the new one may name the memory of another request.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig, createEntry, waitUntil } from "./harness/forward";
import type { RawEndpoint } from "./harness/raw";

prepareEach();

const DECODE = { service: "models", stage: EngineStage.decode };
const PREFILL = { service: "models", stage: EngineStage.prefill };
/** How long a change of the list takes to reach the instance, in milliseconds, with a margin. */
const LIST_MS = 150;

const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const isHold = (head: string) => head.startsWith("POST /hold");
const isRelease = (head: string) => head.startsWith("DELETE ");
const listReleases = (engine: RawEndpoint) => engine.requests.filter(isRelease);

function createAnswer(head: string, body: string, status = "200 OK", more = ""): string {
  const id = readId(head);
  const named = id === "" ? "" : `x-id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${named}${more}content-length: ${body.length}\r\n\r\n${body}`;
}

function createStream(head: string): string {
  const event = `id: 1\ndata: ${readId(head)}\n\n`;
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`;
  return `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`;
}

/** Lists a new process of an engine at the address of the one before. */
function restart(id: string, engine: RawEndpoint, more: object): void {
  const entry = createEntry(id, engine.address, more);
  store.putEndpoint({ ...entry, processStartedAt: 2, sequence: 2 });
}

const draft = (id: string, more = {}) =>
  get(port, `/draft/${id}`, { "x-id": id, "x-tokens": "300", ...more });

/** Adds a decode engine that grants each hold under the same name; its runs are left to the test. */
function addDecode(run: (head: string) => string): Promise<RawEndpoint> {
  return addEndpoint(
    "d",
    (head, socket) => {
      if (isHold(head)) socket.write(createAnswer("", "h1"));
      else if (isRelease(head)) socket.write(createAnswer("", ""));
      else socket.write(run(head));
    },
    DECODE,
  );
}

const listRuns = (decode: RawEndpoint) =>
  decode.requests.filter((head) => !isHold(head) && !isRelease(head));
const readHold = (head: string) => /x-hold: (\S+)/.exec(head)?.[1] ?? "none";
const readSource = (head: string) => /x-source: (\S+)/.exec(head)?.[1] ?? "none";

/** Adds a prefill engine that numbers its handles; it answers `ms` after it has called `onPrompt`. */
function addPrefill(onPrompt: () => void, ms = 0): Promise<RawEndpoint> {
  let handles = 0;
  return addEndpoint(
    "p",
    (head, socket) => {
      if (isRelease(head)) return void socket.write(createAnswer("", ""));
      onPrompt();
      handles += 1;
      const answer = createAnswer(head, `kv-${handles}`);
      setTimeout(() => socket.write(answer), ms);
    },
    PREFILL,
  );
}

/** Has engines keep handles so long that their age does not keep them from a second engine. */
function keepHandlesLong(): void {
  const config = createConfig(2);
  const services = config.services.map((service) =>
    service.engine === undefined
      ? service
      : { ...service, engine: { ...service.engine, handleTtlMs: 20_000 } },
  );
  store.putConfig({ ...config, services });
}

describe("a hold", () => {
  it("of the process before is not used at the next", async () => {
    let holds = 0;
    const decode = await addEndpoint(
      "d",
      (head, socket) => {
        if (isHold(head)) socket.write(createAnswer("", `h${(holds += 1)}`));
        else if (isRelease(head)) socket.write(createAnswer("", ""));
        else socket.write(createStream(head));
      },
      DECODE,
    );
    await addPrefill(() => restart("d", decode, DECODE), LIST_MS);
    await start();
    const response = await draft("one");
    assert.deepEqual([response.status, response.body], [200, "id: 1\ndata: one\n\n"]);
    assert.deepEqual(listRuns(decode).map(readHold), ["h2"]);
    assert.deepEqual(listRuns(decode).map(readSource), ["kv-1"]);
  });

  it("of an endpoint whose address another one took over is not used there", async () => {
    const decode = await addDecode(createStream);
    const takeOver = () =>
      store.putEndpoint(
        createEntry("e", decode.address, { ...DECODE, service: "sheets", processStartedAt: 2 }),
      );
    await addPrefill(takeOver, LIST_MS);
    await start();
    await draft("one", { "x-patience": "900" });
    assert.deepEqual(listRuns(decode), []);
  });
});

describe("a handle", () => {
  it("of the process before is not offered again", async () => {
    keepHandlesLong();
    const prefill = await addPrefill(() => undefined);
    const decode = await addEndpoint(
      "d",
      (head, socket) => {
        if (isHold(head)) return void socket.write(createAnswer("", "h1"));
        if (isRelease(head)) return void socket.write(createAnswer("", ""));
        if (listRuns(decode).length > 1) return void socket.write(createStream(head));
        restart("p", prefill, PREFILL);
        const refusal = createAnswer(head, "", "503 Full", "x-not-run: 1\r\n");
        setTimeout(() => socket.write(refusal), LIST_MS);
      },
      DECODE,
    );
    await start();
    assert.equal((await draft("one")).status, 200);
    assert.deepEqual(listRuns(decode).map(readSource), ["kv-1", "kv-2"]);
    assert.deepEqual(listReleases(prefill), []);
  });

  it("of a process that went while it answered is not used", async () => {
    const prefill = await addPrefill(() => restart("p", prefill, PREFILL), LIST_MS);
    const decode = await addDecode(createStream);
    await start();
    assert.equal((await draft("one")).status, 200);
    assert.deepEqual(listRuns(decode).map(readSource), ["none"]);
  });
});

describe("a release", () => {
  it("does not miss the process that gave the hold, and names it", async () => {
    const decode = await addDecode(createStream);
    await addEndpoint("p", () => undefined, PREFILL);
    await start();
    assert.equal((await draft("one", { "x-patience": "400" })).status, 503);
    await waitUntil(() => listReleases(decode).length > 0);
    assert.match(listReleases(decode)[0] ?? "", /^DELETE \/hold\/h1 [^]*x-expect: d/);
  });

  it("does not free the memory of another request at the next process", async () => {
    const decode = await addDecode(createStream);
    const restartDecode = () => restart("d", decode, DECODE);
    await addEndpoint("p", restartDecode, PREFILL);
    await start();
    assert.equal((await draft("one", { "x-patience": "400" })).status, 503);
    await pause(LIST_MS);
    assert.deepEqual(listReleases(decode), []);
  });
});
