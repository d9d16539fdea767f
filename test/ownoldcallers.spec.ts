/**
 * Callers of the product's own interface that speak HTTP/1.0, which has no chunks. Guards against an answer whose end only
 * its connection shows, so that a part of it looks complete once its instance has died.
 */
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { createNotRunRefusal, Reason } from "../src/core/outcome";
import { writeRefusal } from "../src/entry/response";
import { type InstanceStatus, OperatorServer } from "../src/entry/operator";
import { createSink } from "../src/entry/sink";
import { allocatePort } from "./harness/ports";

const SHAPE = { requestId: "r1", model: "m", isChat: false, isClosing: false };
const USAGE = { promptTokens: 3, outputTokens: 2 };

/** Has an answer written to a caller; resolves with all that it gets. */
async function ask(version: string, answer: (response: ServerResponse) => void) {
  const server = createServer((_request, response) => {
    answer(response);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const answered = await read((server.address() as AddressInfo).port, "/", version);
  server.close();
  return answered;
}

/** Sends a request, and reads all that comes until the connection ends. */
async function read(port: number, path: string, version: string) {
  const socket = connect(port, "127.0.0.1");
  let text = "";
  socket.on("data", (bytes: Buffer) => (text += bytes.toString("utf8")));
  socket.write(`GET ${path} HTTP/${version}\r\nhost: test\r\nconnection: close\r\n\r\n`);
  await new Promise((resolve) => socket.on("close", resolve));
  const [head = "", body = ""] = text.split(/\r\n\r\n(.*)/s);
  return { head, body };
}

for (const version of ["1.0", "1.1"]) {
  describe(`an answer of the own interface to a caller of HTTP/${version}`, () => {
    it("has a length if it is a whole completion", async () => {
      const { head, body } = await ask(version, (response) => {
        const sink = createSink(response, SHAPE, false);
        sink.write("žluť");
        sink.finish(USAGE);
      });
      assert.match(body, /žluť/);
      assert.match(head, new RegExp(`^content-length: ${Buffer.byteLength(body)}$`, "im"));
      assert.doesNotMatch(head, /transfer-encoding/i);
    });

    it("has a length if it is a refusal", async () => {
      const { head, body } = await ask(version, (response) => {
        const refusal = createNotRunRefusal(400, Reason.badRequest, "no žluť here");
        writeRefusal(response, refusal, "r1", false);
      });
      assert.match(body, /no žluť here/);
      assert.match(head, new RegExp(`^content-length: ${Buffer.byteLength(body)}$`, "im"));
      assert.doesNotMatch(head, /transfer-encoding/i);
    });

    it("has a length if it is the status for operators", async () => {
      const status = { isReady: true, isDraining: false, name: "žluť" };
      const server = new OperatorServer(() => status as unknown as InstanceStatus);
      const port = allocatePort();
      await server.listen({ host: "127.0.0.1", port });
      const { head, body } = await read(port, "/status", version);
      await server.close();
      assert.equal(body, JSON.stringify(status));
      assert.match(head, new RegExp(`^content-length: ${Buffer.byteLength(body)}$`, "im"));
      assert.doesNotMatch(head, /transfer-encoding/i);
    });
  });
}
