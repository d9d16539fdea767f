/**
 * Documents of other writers, as decoders of the core meet them. Guards against a document that makes
 * its decoder throw, and against errors as large as the document.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { createText, createWhole, decodeBytes, decodeText, decodeValue } from "../src/core/codec";

const DEPTH = 200_000;
const MAX_MESSAGE_CHARACTERS = 30_000;
const codec = t.type({ name: createText("name", 20), count: createWhole("count", 0) });

describe("a document of another writer", () => {
  it("that is nested 200,000 deep is refused and does not throw", () => {
    const deep = "[".repeat(DEPTH) + "]".repeat(DEPTH);
    for (const text of [deep, `{"name":${deep}}`]) {
      assert.ok(E.isLeft(decodeText(codec, text, "odd")));
      const decoded = decodeValue(codec, JSON.parse(text), "odd");
      assert.ok(E.isLeft(decoded));
      assert.ok(decoded.left.message.length < MAX_MESSAGE_CHARACTERS);
    }
  });

  it("with numbers or text out of bounds is refused, with a short message", () => {
    const long = "x".repeat(1_000_000);
    for (const value of ["1e400", "1e60", "-1", "0.5", '"1"', "9007199254740993", "null"]) {
      assert.ok(E.isLeft(decodeText(codec, `{"name":"a","count":${value}}`, "odd")), value);
    }
    for (const name of [long, "\ud800", ["x"], { [long]: long }]) {
      const decoded = decodeText(codec, JSON.stringify({ name, count: 1 }), long);
      assert.ok(E.isLeft(decoded));
      assert.ok(decoded.left.message.length < MAX_MESSAGE_CHARACTERS);
    }
    const many = decodeValue(t.array(t.number), new Array(100_000).fill("x"), "odd");
    assert.ok(E.isLeft(many) && many.left.message.length < MAX_MESSAGE_CHARACTERS);
  });

  it("that is too large, or not UTF-8, is refused", () => {
    const sound = Buffer.from('{"name":"a","count":1}');
    assert.ok(E.isRight(decodeBytes(codec, sound, "odd", sound.length)));
    assert.ok(E.isLeft(decodeBytes(codec, sound, "odd", sound.length - 1)));
    const broken = Buffer.concat([Buffer.from('{"name":"'), Buffer.from([0xff]), sound]);
    assert.ok(E.isLeft(decodeBytes(codec, broken, "odd", 1000)));
  });

  it("never throws, and is accepted only with values that can be passed on", () => {
    fc.assert(
      fc.property(fc.oneof(fc.json(), fc.string()), (text) => {
        const decoded = decodeText(codec, text, text);
        if (E.isRight(decoded)) assert.ok(Number.isSafeInteger(decoded.right.count));
      }),
    );
  });
});
