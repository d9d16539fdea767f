/**
 * Endpoints that stop in the middle of an answer's head and close or reset the connection. The table guards
 * against a caller getting an empty or short body that looks whole.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";

prepareEach();

const BODY = "sheet 7";
const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const createAnswer = (head: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\nx-seal: s\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;

/** What comes of an answer before its connection ends. */
const CUTS: Readonly<Record<string, (head: string) => string>> = {
  "the version": () => "HTTP/1.1",
  "the status": () => "HTTP/1.1 200",
  "the reason": () => "HTTP/1.1 200 OK",
  "a carriage return": () => "HTTP/1.1 200 OK\r",
  "the first line": () => "HTTP/1.1 200 OK\r\n",
  "a name": () => "HTTP/1.1 200 OK\r\nx-i",
  "a value": () => "HTTP/1.1 200 OK\r\nx-id: ",
  "the ids": (head) => `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\nx-seal: s\r\n`,
  "a length": (head) => `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ncontent-length: `,
  "a length of zero": (head) => `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ncontent-length: 0\r\n`,
  "half of the last empty line": (head) =>
    `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ncontent-length: 0\r\n\r`,
  "an interim response": () => "HTTP/1.1 103 Early Hints\r\n\r\n",
  "half of an interim response": () => "HTTP/1.1 103 Early Hints\r\nlink: a",
  "a head after an interim response": () => "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx",
  "a head of HTTP/1.0": (head) => `HTTP/1.0 200 OK\r\nx-id: ${readId(head)}\r\n`,
  "a head without a body": () => "HTTP/1.1 204 No Content\r\n",
  "a short body": (head) => createAnswer(head).slice(0, -3),
  "chunks without the last one": (head) =>
    `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nshe\r\n`,
  "a trailer": (head) =>
    `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nshe\r\n0\r\nx-t`,
  nothing: () => "",
};

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => socket.end(),
  reset: (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 5);
  },
};

type Cut = (head: string, socket: Socket) => void;

/** One cut of the table. */
interface CutCase {
  readonly name: string;
  readonly cut: Cut;
}

const CASES: readonly CutCase[] = Object.entries(CUTS).flatMap(([at, create]) =>
  Object.entries(ENDS).map(([how, end]) => ({
    name: `after ${at}, ${how}`,
    cut: (head: string, socket: Socket) => {
      socket.write(create(head));
      end(socket);
    },
  })),
);

/** Cuts the answer as the case says whose number stands at the end of the request's path. */
const cutByPath: Cut = (head, socket) => {
  const place = Number(/^[A-Z]+ \/[a-z]+\/(\d+) /.exec(head)?.[1]);
  CASES[place]?.cut(head, socket);
};

const grant = (socket: Socket) => {
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
};

const streamOne = (head: string, socket: Socket) => {
  const event = "id: 1\ndata: a\n\n";
  const size = event.length.toString(16);
  const framing = "transfer-encoding: chunked";
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n${framing}\r\n\r\n${size}\r\n${event}\r\n0\r\n\r\n`,
  );
};

/** Sends a request as HTTP/1.0; resolves with all that comes until the connection ends. */
function getOld(path: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    const parts: Buffer[] = [];
    socket.on("data", (bytes) => parts.push(bytes));
    socket.on("error", () => undefined);
    socket.once("close", () => {
      resolve(Buffer.concat(parts).toString());
    });
    socket.write(`GET ${path} HTTP/1.0\r\nhost: h.example\r\nx-id: old\r\n\r\n`);
  });
}

/** Plays all cuts; lists those whose outcome is not as it should be. */
async function listFaults(play: (place: number) => Promise<string>): Promise<string[]> {
  const played = CASES.map(async ({ name }, place) => ({ name, fault: await play(place) }));
  const outcomes = await Promise.all(played);
  return outcomes.flatMap(({ name, fault }) => (fault === "" ? [] : `${name}: ${fault}`));
}

describe("an answer that is cut in its head", () => {
  it("is no success of a request that runs once", async () => {
    const runs = new Map<string, number>();
    const answer: Cut = (head, socket) => {
      runs.set(readId(head), (runs.get(readId(head)) ?? 0) + 1);
      cutByPath(head, socket);
    };
    for (const id of ["e1", "e2"]) await addEndpoint(id, answer);
    await start();
    const faults = await listFaults(async (place) => {
      const { status, isComplete, body } = await get(port, `/once/${place}`, {
        "x-id": `n${place}`,
      });
      const isRight = status === 502 && isComplete && !body.includes("she");
      return isRight && runs.get(`n${place}`) === 1 ? "" : `${status} ${body}`;
    });
    assert.deepEqual(faults, []);
  });

  it("is no success on a kept connection that brought a whole one", async () => {
    const seen = new WeakSet<Socket>();
    let reused = 0;
    await addEndpoint("e1", (head, socket) => {
      if (/ \/once\/whole /.test(head)) {
        seen.add(socket);
        socket.write(createAnswer(head));
        return;
      }
      if (seen.has(socket)) reused += 1;
      cutByPath(head, socket);
    });
    await start();
    for (const [place, { name }] of CASES.entries()) {
      const first = await get(port, "/once/whole", { "x-id": `w${place}` });
      assert.deepEqual([first.status, first.body], [200, BODY]);
      const second = await get(port, `/once/${place}`, { "x-id": `n${place}` });
      assert.deepEqual([second.status, second.isComplete], [502, true], name);
      assert.ok(!second.body.includes("she"), name);
    }
    assert.ok(reused > CASES.length / 2, `${reused} on kept connections`);
  });

  it("is no success for a caller of HTTP/1.0", async () => {
    for (const id of ["e1", "e2"]) await addEndpoint(id, cutByPath);
    await start();
    const faults = await listFaults(async (place) => {
      const answer = await getOld(`/once/${place}`);
      return /^HTTP\/1\.1 50[0-9] /.test(answer) ? "" : answer;
    });
    assert.deepEqual(faults, []);
  });
});

describe("a generation whose engine cuts an answer in its head", () => {
  const DECODE = { service: "models", stage: EngineStage.decode };
  const TOKENS = { "x-tokens": "30" };

  it("is no whole success without its events: the answer of its run", async () => {
    for (const id of ["d1", "d2"]) {
      const answer: Cut = (head, socket) => {
        if (head.startsWith("POST /hold")) grant(socket);
        else cutByPath(head, socket);
      };
      await addEndpoint(id, answer, DECODE);
    }
    await start();
    const faults = await listFaults(async (place) => {
      const headers = { ...TOKENS, "x-id": `g${place}` };
      const { status, isComplete, body } = await get(port, `/draft/${place}`, headers);
      return status < 300 && isComplete ? `${status} ${body}` : "";
    });
    assert.deepEqual(faults, []);
  });

  it("runs only once it has a whole hold", async () => {
    let holds = 0;
    let runsBefore = 0;
    await addEndpoint(
      "d1",
      (head, socket) => {
        if (!head.startsWith("POST /hold")) {
          if (holds <= 8) runsBefore += 1;
          streamOne(head, socket);
          return;
        }
        const next = CASES[holds];
        holds += 1;
        if (next === undefined || holds > 8) grant(socket);
        else next.cut(head, socket);
      },
      DECODE,
    );
    await start();
    const response = await get(port, "/draft/1", { ...TOKENS, "x-id": "g1" });
    assert.equal(runsBefore, 0);
    const isWhole = response.status < 300 && response.isComplete;
    assert.equal(isWhole, isWhole && response.body.includes("data: a"));
  });

  it("is answered by its decode engine where that of its prefill is cut", async () => {
    let prefills = 0;
    for (const [place, { cut }] of CASES.entries()) {
      const answer: Cut = (head, socket) => {
        prefills += 1;
        cut(head, socket);
      };
      await addEndpoint(`p${place}`, answer, { service: "models", stage: EngineStage.prefill });
    }
    const decode: Cut = (head, socket) => {
      if (head.startsWith("POST /hold")) grant(socket);
      else streamOne(head, socket);
    };
    await addEndpoint("d1", decode, DECODE);
    await start();
    for (let place = 0; place < CASES.length; place += 1) {
      const headers = { ...TOKENS, "x-id": `g${place}` };
      const response = await get(port, `/draft/${place}`, headers);
      assert.deepEqual([response.status, response.isComplete], [200, true]);
      assert.ok(response.body.includes("data: a"), response.body);
    }
    assert.ok(prefills > CASES.length / 4, `${prefills} prefills`);
  });
});
