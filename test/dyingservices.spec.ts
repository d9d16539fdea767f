/**
 * Unframed answers of plain services to the product's own interface, whose process dies by FIN amid the body. Guards
 * against a cut one that counts as whole, as something takes connections at its port after it, and against sound ones that
 * break off or cost their service more connections.
 */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import {
  callService,
  closeAll,
  closeLater,
  HEAD,
  PART,
  ServiceProcess,
  WHOLE,
} from "./harness/ownservices";

/** How long after its first bytes a service ends its answer, in milliseconds. */
const AMID_MS = 60;
/** Longer than an unused connection that its service ends tells of the end of an answer, in milliseconds. */
const LONG_MS = 300;
const BACK_MS = 20;
const PLAYS = 5;
/** How long the connections of an answer may take to be accepted, in milliseconds. */
const ACCEPT_MS = 100;

afterEach(closeAll);

const endWhole = (socket: Socket) => {
  socket.write(HEAD + PART);
  setTimeout(() => socket.end(WHOLE.slice(PART.length)), AMID_MS);
};

/** Starts a service that dies amid its answer, and does something then. */
async function startDying(then: (port: number) => Promise<unknown>): Promise<number> {
  const first = new ServiceProcess((socket, self) => {
    socket.write(HEAD + PART);
    setTimeout(() => {
      self.die();
      void then(port);
    }, AMID_MS);
  });
  const port = await first.listen();
  return port;
}

describe("an unframed answer to the product's own interface, of a service whose process dies by FIN amid it", () => {
  const BACK: Record<string, (port: number) => Promise<unknown>> = {
    "is back at once": (port) => new ServiceProcess(endWhole).listen(port),
    [`is back within ${BACK_MS} ms`]: async (port) => {
      await pause(BACK_MS);
      await new ServiceProcess(endWhole).listen(port);
    },
    "is back at once and hangs": (port) => new ServiceProcess(() => undefined).listen(port),
    "stays away": () => Promise.resolve(),
  };
  for (const [name, then] of Object.entries(BACK)) {
    it(`is none if it ${name}`, async () => {
      const answer = await callService(await startDying(then));
      assert.deepEqual(answer, { body: undefined, isSent: true, reasons: ["down"] });
    });
  }
});

/** Writes the first part of each answer, and its port at the start. */
const REAL_SERVICE = `
  const server = require("node:net").createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.write(${JSON.stringify(HEAD + PART)}));
  });
  server.listen(0, "127.0.0.1", () => process.stdout.write(String(server.address().port)));
`;

async function startReal(): Promise<{ readonly child: ChildProcess; readonly port: number }> {
  const child = spawn(process.execPath, ["-e", REAL_SERVICE], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  closeLater(() => child.kill("SIGKILL"));
  const [told] = (await once(child.stdout, "data")) as [Buffer];
  return { child, port: Number(told.toString()) };
}

/** Lets the next process listen as soon as the port is free. */
async function followAtOnce(port: number): Promise<void> {
  const next = new ServiceProcess(endWhole);
  for (;;) {
    try {
      await next.listen(port);
      return;
    } catch {
      await pause(0);
    }
  }
}

describe("an unframed answer to the product's own interface, of a real process that is killed amid it", () => {
  it(`is none though another one takes its port at once, ${PLAYS} plays`, async () => {
    const bodies: unknown[] = [];
    for (let played = 0; played < PLAYS; played += 1) {
      const { child, port } = await startReal();
      const answer = callService(port);
      await pause(AMID_MS);
      child.kill("SIGKILL");
      await followAtOnce(port);
      bodies.push((await answer).body);
    }
    assert.deepEqual(
      bodies,
      bodies.map(() => undefined),
    );
  });
});

describe("a sound unframed answer to the product's own interface", () => {
  const FORMS: Record<string, (socket: Socket) => void> = {
    "ends at once": (socket) => socket.end(HEAD + WHOLE),
    "ends later": endWhole,
  };
  for (const [name, answer] of Object.entries(FORMS)) {
    it(`is whole if it ${name}, with one connection beside its own`, async () => {
      const service = new ServiceProcess(answer);
      const { body, reasons } = await callService(await service.listen());
      await pause(ACCEPT_MS);
      assert.deepEqual([body, reasons, service.sockets.length], [WHOLE, [], 2]);
    });
  }

  it("is whole if its service ends unused connections long before", async () => {
    const service = new ServiceProcess((socket, self) => {
      socket.write(HEAD + PART);
      setTimeout(() => {
        for (const other of self.sockets) if (other !== socket) other.end();
      }, AMID_MS);
      setTimeout(() => socket.end(WHOLE.slice(PART.length)), AMID_MS + LONG_MS);
    });
    const { body, reasons } = await callService(await service.listen());
    assert.deepEqual([body, reasons], [WHOLE, []]);
  });

  it("costs no other connection if it has a length", async () => {
    const service = new ServiceProcess((socket) => {
      const head = HEAD.replace("connection: close", `content-length: ${WHOLE.length}`);
      socket.end(head + WHOLE);
    });
    const { body } = await callService(await service.listen());
    await pause(ACCEPT_MS);
    assert.deepEqual([body, service.sockets.length], [WHOLE, 1]);
  });
});
