/**
 * Stand-in for the platform's store: logs with offsets, and keyed topics whose newest record of each key
 * is kept. It answers as PROTOCOL.md says, each call after a few milliseconds.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

const ANSWER_MS = 4;
/** How long records are kept, in milliseconds; the sheets say 20 s of history. */
const KEEP_MS = 20_000;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const MAX_PAGE_BYTES = 1024 * 1024;

class Topic {
  constructor(isKeyed) {
    this.isKeyed = isKeyed;
    this.records = [];
    this.end = 0;
    /** By key: the newest record with a value. */
    this.newest = new Map();
    this.waiting = new Set();
  }

  get first() {
    return this.records[0]?.offset ?? this.end;
  }

  append(bytes) {
    const offset = this.end;
    this.end += 1;
    this.records.push({ offset, bytes, at: performance.now() });
    if (this.isKeyed) this.keep(bytes, offset);
    for (const wake of [...this.waiting]) wake();
    return offset;
  }

  keep(bytes, offset) {
    const keyEnd = 1 + bytes[0];
    const key = bytes.subarray(1, keyEnd).toString("utf8");
    if (bytes.length > keyEnd) this.newest.set(key, { value: bytes.subarray(keyEnd), offset });
    else this.newest.delete(key);
  }

  expire() {
    const before = performance.now() - KEEP_MS;
    while (this.records.length > 0 && this.records[0].at < before) this.records.shift();
  }
}

/** A store that listens at a loopback address. */
export class Store {
  constructor(host, port) {
    this.host = host;
    this.port = port;
    this.topics = new Map();
    /** Called with each call before it is answered: returns what is done in place of the answer. */
    this.intercept = () => undefined;
    this.server = createServer((request, response) => this.receive(request, response));
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  listen() {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.port, this.host, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a record of the operator or of a runner; no value removes the key. */
  put(topicName, key, value) {
    const keyBytes = Buffer.from(key);
    const text = value === undefined ? "" : JSON.stringify(value);
    const bytes = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(text)]);
    return this.topic(topicName).append(bytes);
  }

  topic(name) {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const topic = new Topic(name.startsWith("keyed."));
    this.topics.set(name, topic);
    return topic;
  }

  receive(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const url = new URL(request.url, "http://store");
      const call = { path: url.pathname, query: url.searchParams, body: Buffer.concat(chunks) };
      if (this.intercept(call, request, response) === true) return;
      setTimeout(() => this.answer(call, response), ANSWER_MS);
    });
  }

  answer({ path, query, body }, response) {
    const name = query.get("topic") ?? "";
    const topic = this.topic(name);
    topic.expire();
    if (path === "/-/log-newest") answerNewest(topic, response);
    else if (path === "/-/log-read") answerRead(topic, query, response);
    else if (path === "/-/log-append") answerAppend(topic, name, query, body, response);
    else answerJson(response, 404, { error: "no such call" });
  }
}

function answerNewest(topic, response) {
  const items = [...topic.newest].map(([key, { value, offset }]) => ({
    key,
    value: value.toString("base64"),
    offset,
  }));
  items.sort((a, b) => (a.key < b.key ? -1 : 1));
  answerJson(response, 200, { items, more: false, end: topic.end });
}

function answerRead(topic, query, response) {
  const from = Number(query.get("from"));
  const waitMs = Number(query.get("wait-ms") ?? 0);
  if (from < topic.first || from > topic.end) {
    answerJson(response, 410, { first: topic.first });
    return;
  }
  if (from < topic.end || waitMs === 0) {
    answerRecords(topic, from, response);
    return;
  }
  const finish = () => {
    clearTimeout(timer);
    topic.waiting.delete(finish);
    answerRecords(topic, from, response);
  };
  const timer = setTimeout(finish, waitMs);
  topic.waiting.add(finish);
  response.once("close", () => {
    clearTimeout(timer);
    topic.waiting.delete(finish);
  });
}

function answerRecords(topic, from, response) {
  const head = Buffer.alloc(2 * OFFSET_BYTES);
  head.writeBigUInt64BE(BigInt(topic.end), 0);
  head.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
  const parts = [head];
  let size = 0;
  for (const { offset, bytes } of topic.records) {
    if (offset < from) continue;
    size += bytes.length + LENGTH_BYTES;
    if (size > MAX_PAGE_BYTES) break;
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(bytes.length);
    parts.push(length, bytes);
  }
  response.writeHead(200, { "content-type": "application/octet-stream" });
  response.end(Buffer.concat(parts));
}

function answerAppend(topic, name, query, body, response) {
  if (name === "keyed.op" || name === "keyed.servers") {
    answerJson(response, 403, { error: "not yours" });
    return;
  }
  const at = query.get("at");
  if (at !== null && Number(at) !== topic.end) {
    answerJson(response, 412, { end: topic.end });
    return;
  }
  const offset = topic.end;
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const start = position + LENGTH_BYTES;
    position = start + body.readUInt32BE(position);
    topic.append(body.subarray(start, position));
  }
  answerJson(response, 200, { offset, end: topic.end });
}

function answerJson(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
