/**
 * Validation of settings and configuration. Guards against errors that do not name the file, the path, the value found
 * and the values allowed, and against examples that no longer validate.
 */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { createEmptyConfiguration, documentCodec } from "../src/core/config/objects";
import { decodeText } from "../src/core/codec";
import { checkReferences } from "../src/core/config/references";
import { settingsCodec } from "../src/core/settings";

const validSettings = {
  instance: "nizwa-1",
  dataCentre: "nizwa",
  callers: { host: "127.0.0.1", port: 1 },
  peers: { host: "127.0.0.1", port: 2 },
  operator: { host: "127.0.0.1", port: 3 },
  platform: { log: "http://127.0.0.1:4", list: "http://127.0.0.1:4" },
};

function readErrorMessage(value: unknown): string {
  const decoded = decodeText(settingsCodec, JSON.stringify(value), "s.json");
  return E.isLeft(decoded) ? decoded.left.message : "none";
}

describe("settings", () => {
  it("are accepted if they are valid", () => {
    assert.equal(readErrorMessage(validSettings), "none");
  });

  it("are refused with the file, the path, the value found and the values allowed", () => {
    assert.equal(
      readErrorMessage({ ...validSettings, callers: { host: "a", port: 70000 } }),
      "s.json: at callers.port: found 70000; allowed: port: a number from 0 to 65535",
    );
    assert.match(
      readErrorMessage({ ...validSettings, colour: 1 }),
      /s\.json: at the document: found .*unknown member "colour"; allowed: instance, /,
    );
    assert.match(
      readErrorMessage({ ...validSettings, peers: { ...validSettings.peers, tls: true } }),
      /at peers: found .*unknown member "tls"; allowed: host, port/,
    );
    assert.match(
      readErrorMessage({ ...validSettings, instance: undefined }),
      /at instance: found nothing; allowed: string/,
    );
  });

  it("are refused if they are not JSON", () => {
    const decoded = decodeText(settingsCodec, "{", "s.json");
    assert.ok(E.isLeft(decoded) && decoded.left.message.startsWith("s.json: not JSON: "));
  });
});

describe("configurations", () => {
  it("are refused with each undefined reference named", () => {
    const configuration = {
      ...createEmptyConfiguration(),
      workspaces: { w: { rate: 1, burst: 1, classes: ["none"], selector: "gone" } },
    };
    const checked = checkReferences(configuration, "c.json");
    assert.ok(E.isLeft(checked));
    assert.deepEqual(checked.left.faults, [
      'at workspaces.w.selector: found "gone"; allowed: none is defined',
      'at workspaces.w.classes.0: found "none"; allowed: none is defined',
    ]);
  });

  it("of the examples are valid", () => {
    const folder = join(__dirname, "../examples");
    const files = readdirSync(folder).filter((file) => !file.startsWith("settings"));
    assert.ok(files.length >= 2);
    for (const file of files) {
      const decoded = decodeText(documentCodec, readFileSync(join(folder, file), "utf8"), file);
      assert.ok(E.isRight(decoded), E.isLeft(decoded) ? decoded.left.message : "");
      assert.ok(
        E.isRight(checkReferences({ ...createEmptyConfiguration(), ...decoded.right }, file)),
      );
    }
  });
});
