/**
 * Answers of endpoints whose status is none, or whose head has a name that no field can have. Guards against one that
 * reaches a caller, or that counts as the outcome of a run, a hold or a prefill.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import { ODD_TABLES, type OddAnswer } from "./harness/oddheads";

prepareEach();

const BODY = "odd";
const TOKENS = { "x-tokens": "30" };
const DECODE = { service: "models", stage: EngineStage.decode };
type Answer = (head: string, socket: Socket) => void;

const event = "id: 1\ndata: odd\n\n";
const readIds = (head: string) => `x-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\nx-seal: s\r\n`;
const endWith = (socket: Socket, text: string) => socket.end(Buffer.from(text, "latin1"));
const grant: Answer = (_head, socket) => {
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
};
const answerWhole: Answer = (head, socket) => {
  socket.write(`HTTP/1.1 200 OK\r\n${readIds(head)}content-length: 5\r\n\r\nwhole`);
};
const streamWhole: Answer = (head, socket) => {
  const size = event.length.toString(16);
  const framing = "transfer-encoding: chunked";
  socket.write(
    `HTTP/1.1 200 OK\r\n${readIds(head)}${framing}\r\n\r\n${size}\r\n${event}\r\n0\r\n\r\n`,
  );
};

/** Answers with the form whose place stands at the end of the request's path. */
const answerOddly =
  (forms: readonly OddAnswer[], body = BODY): Answer =>
  (head, socket) => {
    const place = Number(/^[A-Z]+ \/[a-z]+\/(\d+) /.exec(head)?.[1]);
    endWith(socket, forms[place]?.format(readIds(head), body) ?? "");
  };

/** Plays all forms one after the other; lists those whose outcome is not as it should be. */
async function listFaults(
  forms: readonly OddAnswer[],
  play: (place: number) => Promise<string>,
): Promise<string[]> {
  const faults: string[] = [];
  for (const [place, { name }] of forms.entries()) {
    const fault = await play(place);
    if (fault !== "") faults.push(`${name}: ${fault}`);
  }
  return faults;
}

for (const [name, forms] of Object.entries(ODD_TABLES)) {
  describe(`an answer ${name}`, () => {
    it("is a 502 if the request may run once, which it does", async () => {
      const runs = new Map<string, number>();
      const answer: Answer = (head, socket) => {
        runs.set(readIds(head), (runs.get(readIds(head)) ?? 0) + 1);
        answerOddly(forms)(head, socket);
      };
      for (const id of ["e1", "e2"]) await addEndpoint(id, answer, { slots: 600 });
      await start();
      const faults = await listFaults(forms, async (place) => {
        const { status, isComplete, body } = await get(port, `/once/${place}`);
        return status === 502 && isComplete && !body.includes(BODY) ? "" : `${status} ${body}`;
      });
      assert.deepEqual([faults, Math.max(...runs.values())], [[], 1]);
    });

    it("is a 502 on a kept connection that brought a whole one", async () => {
      const answer: Answer = (head, socket) => {
        if (/ \/once\/whole /.test(head)) answerWhole(head, socket);
        else answerOddly(forms)(head, socket);
      };
      await addEndpoint("e1", answer, { slots: 600 });
      await start();
      const faults = await listFaults(forms, async (place) => {
        const first = await get(port, "/once/whole");
        assert.deepEqual([first.status, first.body], [200, "whole"]);
        const { status, body } = await get(port, `/once/${place}`);
        return status === 502 && !body.includes(BODY) ? "" : `${status} ${body}`;
      });
      assert.deepEqual(faults, []);
    });

    it("is asked for again if the request may be repeated", async () => {
      const asked = new Set<string>();
      const answer: Answer = (head, socket) => {
        const isFirst = !asked.has(readIds(head));
        asked.add(readIds(head));
        if (isFirst) answerOddly(forms)(head, socket);
        else answerWhole(head, socket);
      };
      for (const id of ["e1", "e2"]) await addEndpoint(id, answer, { slots: 600 });
      await start({ retryLimit: { ratio: 1, slack: 1000, windowMs: 10_000 } });
      const faults = await listFaults(forms, async (place) => {
        const { status, body } = await get(port, `/any/${place}`);
        return status === 200 && body === "whole" ? "" : `${status} ${body}`;
      });
      assert.deepEqual(faults, []);
    });

    for (const path of ["draft", "summary"]) {
      it(`is no stream of a generation, and none of its replacement (${path})`, async () => {
        const answer: Answer = (head, socket) => {
          if (head.startsWith("POST /hold")) grant(head, socket);
          else answerOddly(forms, event)(head, socket);
        };
        for (let id = 0; id < 8; id += 1) await addEndpoint(`d${id}`, answer, DECODE);
        await start({ retryLimit: { ratio: 1, slack: 1000, windowMs: 10_000 } });
        const faults = await listFaults(forms, async (place) => {
          const { status, isComplete, body } = await get(port, `/${path}/${place}`, TOKENS);
          // The events before a trailer are whole; the stream then ends as one that was cut.
          if (!isComplete) return "";
          return status >= 500 && status < 600 && !body.includes("data: odd")
            ? ""
            : `${status} ${body}`;
        });
        assert.deepEqual(faults, []);
      });
    }

    it("grants no hold", async () => {
      let place = 0;
      const runs: string[] = [];
      const answer: Answer = (head, socket) => {
        if (!head.startsWith("POST /hold")) {
          runs.push(head);
          streamWhole(head, socket);
          return;
        }
        endWith(socket, forms[place % forms.length]?.format("", "h1") ?? "");
        place += 1;
      };
      for (let id = 0; id < 8; id += 1) await addEndpoint(`d${id}`, answer, DECODE);
      await start();
      const deadline = performance.now() + 20_000;
      while (place < forms.length && performance.now() < deadline) {
        await get(port, "/draft/1", { ...TOKENS, "x-patience": "300" });
      }
      assert.ok(place >= forms.length, `${place} holds were asked for`);
      assert.deepEqual(runs, []);
    });

    it("has read no prompt", async () => {
      const runs: string[] = [];
      const prefill = { service: "models", stage: EngineStage.prefill };
      let prefills = 0;
      for (const [place, form] of forms.entries()) {
        const answer: Answer = (head, socket) => {
          prefills += 1;
          endWith(socket, form.format(readIds(head), "k1"));
        };
        await addEndpoint(`p${place}`, answer, prefill);
      }
      const decode: Answer = (head, socket) => {
        if (head.startsWith("POST /hold")) grant(head, socket);
        else {
          runs.push(head);
          streamWhole(head, socket);
        }
      };
      await addEndpoint("d1", decode, DECODE);
      await start();
      for (let place = 0; place < forms.length; place += 1) {
        const { status } = await get(port, `/draft/${place}`, TOKENS);
        assert.equal(status, 200);
      }
      assert.ok(prefills > forms.length / 4, `${prefills} prefills`);
      const used = runs.filter((head) => head.includes("x-source"));
      assert.deepEqual(used, []);
    });
  });
}
