/**
 * Connects to addresses that no connection can be opened to. Guards against an exception of Node.js in
 * place of a failed connect, which would end the request, the tunnel's call or the process.
 */
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { TcpOpener } from "../src/forward/tunnels/directopener";
import { TunnelScene } from "./harness/tunnels";

const ODD_ADDRESSES = ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0.5", "127.0.0.1:x", ":"];

describe("an address that no connection can be opened to", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  it("fails a direct connect without an exception", async () => {
    for (const address of ODD_ADDRESSES) {
      assert.equal((await new TcpOpener().open(address, 100))._tag, "Left", address);
    }
  });

  it("fails the tunnel that a peer asks for, and no other", async () => {
    const pair = await scene.startPair();
    for (const [index, address] of ODD_ADDRESSES.slice(0, 4).entries()) {
      const target = pair.list(address, { sequence: index + 1 });
      assert.equal(await pair.fail(target), "unreachable", address);
    }
    const sound = await scene.listen((peer) => peer.pipe(peer));
    (await pair.open(pair.list(sound, { sequence: 100 }))).destroy();
  });
});
