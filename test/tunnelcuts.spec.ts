/**
 * Answers that come over a peer's tunnel and that only the end of their connection delimits. Guards against a cut one
 * that counts as whole one hop away from the reset.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { afterEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { BodyEnd } from "../src/core/bodyend";
import { MonotonicClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { readWholeBody } from "../src/forward/endpoints/body";
import type { BrokenAnswer } from "../src/forward/endpoints/brokenanswer";
import { HttpEndpointClient } from "../src/forward/endpoints/client";
import type { EndpointTarget } from "../src/forward/limits/gate";
import { type EndpointRequest, SendTask } from "../src/forward/requests/messages";
import type { EndpointDialer } from "../src/forward/tunnels/dialer";
import { type TunnelCall, TunnelSocket } from "../src/forward/tunnels/socket";
import { TunnelData } from "../src/peer/gen/fleet";
import { CUTS, HeadEndpoint, isShown, PART, readRest, UNFRAMED_HEADS } from "./harness/cutanswers";
import { createEntry, testCodecs } from "./harness/forward";
import { createGate } from "./harness/gate";
import { CUT_TABLES, ODD_TABLES } from "./harness/oddheads";
import { PEER, TunnelScene } from "./harness/tunnels";

const UPLOADS = [0, 200_000, 1_000_000, 4_000_000];
const PLAYS = 3;
const WHOLE = "all of it";
/** Stands for the ids of a request in an answer. */
const IDS = "$IDS";

const scene = new TunnelScene();
afterEach(() => scene.close());

type Answer = (head: string, socket: Socket) => void;

const broken: BrokenAnswer[] = [];

/** Creates a client that reaches one endpoint over a peer. */
async function createClient(answer: Answer) {
  const endpoint = new HeadEndpoint(answer);
  const pair = await scene.startPair();
  const target = pair.list(await endpoint.listen());
  const dialer: EndpointDialer = {
    dial: async () => E.right({ socket: await pair.open(target), peer: PEER }),
    canReuse: () => true,
    checkDirect: () => undefined,
    close: () => undefined,
  };
  const clock = new MonotonicClock();
  const client = new HttpEndpointClient(
    testCodecs.endpointCodec,
    createGate(clock),
    dialer,
    clock,
    {
      computeMaxConnections: () => 10,
      onForeignAnswer: () => undefined,
      onBrokenAnswer: (answer) => broken.push(answer),
      logger: SILENT_LOGGER,
      computeCheckMs: () => 1000,
    },
  );
  scene.onClose(async () => {
    await client.close();
    endpoint.close();
  });
  return { client, target, endpoint };
}

let requestCount = 0;

/** Sends a request; resolves with its body, or with how it failed. */
async function send(
  client: HttpEndpointClient,
  { address }: EndpointTarget,
  bytes: number,
): Promise<string> {
  requestCount += 1;
  const method = bytes > 0 ? "POST" : "GET";
  const head = { id: `r${requestCount}`, method, target: "/once/1" };
  const request = {
    request: { head, route: { name: "once" }, body: Buffer.alloc(bytes) },
    endpoint: createEntry("e1", address),
    task: SendTask.run,
    leftMs: 1000,
    needsNewConnection: true,
  };
  const signal = AbortSignal.timeout(3000);
  const opened = await client.send(request as unknown as EndpointRequest, signal);
  if (E.isLeft(opened)) return "failed";
  const whole = await readWholeBody(opened.right);
  return E.isLeft(whole) ? "failed" : whole.right.toString();
}

const readIds = (head: string) => `x-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\n`;

describe("an unframed answer over a tunnel", () => {
  for (const [name, cut] of Object.entries(CUTS)) {
    it(`is not whole if it is ${name}`, async () => {
      const { client, target, endpoint } = await createClient((head, socket) => {
        socket.write(UNFRAMED_HEADS["no length"](readIds(head)) + PART);
        cut(socket);
      });
      broken.length = 0;
      const wrong: string[] = [];
      const uploads = UPLOADS.filter((bytes) => isShown(name, bytes));
      for (const bytes of uploads) {
        for (let play = 0; play < PLAYS; play += 1) {
          const end = await send(client, target, bytes);
          if (end !== "failed") wrong.push(`${bytes} bytes: ${end}`);
        }
      }
      assert.deepEqual([wrong, endpoint.heads.length], [[], uploads.length * PLAYS]);
      assert.ok(broken.length > 0);
      for (const { reason, isFramed, service } of broken) {
        assert.ok(reason === BodyEnd.reset || reason === BodyEnd.untaken, reason);
        assert.deepEqual([isFramed, service], [false, "sheets"]);
      }
    });
  }

  for (const [name, forms] of Object.entries({ ...ODD_TABLES, ...CUT_TABLES })) {
    it(`is none ${name}`, async () => {
      let format = "";
      const { client, target } = await createClient((head, socket) => {
        socket.end(Buffer.from(format.replace(IDS, readIds(head)), "latin1"));
      });
      const wrong: string[] = [];
      for (const form of forms) {
        format = form.format(IDS, WHOLE);
        const end = await send(client, target, 0);
        if (end !== "failed") wrong.push(`${form.name}: ${end}`);
      }
      assert.deepEqual(wrong, []);
    });
  }

  it("grants no hold if it is reset", async () => {
    const { client, target } = await createClient((_head, socket) => {
      socket.write(`${UNFRAMED_HEADS["no length"]("")}h`);
      CUTS["reset in the same moment"](socket);
    });
    const call = testCodecs.endpointCodec.createReserveHoldCall(createEntry("e1", "", {}), 30);
    for (let play = 0; play < PLAYS; play += 1) {
      assert.ok(E.isLeft(await client.call(target, call, 1000)));
    }
  });

  it("is whole if the request was taken, and is not reported then", async () => {
    const { client, target } = await createClient((head, socket) => {
      readRest(head, socket, () => {
        socket.end(UNFRAMED_HEADS["no length"](readIds(head)) + WHOLE);
      });
    });
    broken.length = 0;
    for (const bytes of UPLOADS) assert.equal(await send(client, target, bytes), WHOLE);
    assert.deepEqual(broken, []);
  });
});

/** A call to a peer, of which a test writes the messages of the peer. */
class FakeCall extends Duplex {
  constructor() {
    super({ objectMode: true });
  }

  override _read(): void {
    // The test pushes.
  }

  override _write(_message: TunnelData, _encoding: string, callback: () => void): void {
    callback();
  }

  cancel(): void {
    this.push(null);
  }
}

describe("the end of an endpoint that a peer reports", () => {
  /** Sends a request over a tunnel whose peer then reports an end; resolves with how it ended. */
  async function endAfter(
    takenBytes: number | undefined,
    isChecked: boolean,
    endedBy = "endpoint",
  ): Promise<string> {
    const call = new FakeCall();
    const socket = new TunnelSocket(call as unknown as TunnelCall);
    if (isChecked) socket.checkAnswers();
    const end = new Promise<string>((resolve) => {
      socket.resume().once("end", () => {
        resolve("end");
      });
      socket.once("error", (error) => {
        resolve(error.name);
      });
    });
    socket.write(Buffer.alloc(200));
    call.push(TunnelData.create({ end: true, takenBytes, endedBy }));
    return end;
  }

  it("proves nothing if the request was not taken, where answers are read", async () => {
    assert.equal(await endAfter(199, true), "ConnectionCutError");
    assert.equal(await endAfter(200, true), "end");
  });

  it("is passed on as it is elsewhere, and from peers that do not say what was taken", async () => {
    assert.equal(await endAfter(199, false), "end");
    assert.equal(await endAfter(undefined, true), "end");
  });

  it("proves nothing where the peer does not say that the endpoint made it, as those of older builds", async () => {
    for (const endedBy of ["", "relay", "another word"]) {
      assert.equal(await endAfter(200, true, endedBy), "ConnectionCutError", endedBy);
      assert.equal(await endAfter(undefined, true, endedBy), "ConnectionCutError", endedBy);
    }
  });
});
