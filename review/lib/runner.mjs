/**
 * Stand-in for a runner of a plain service, as PROTOCOL.md describes a sound one: it rejects requests
 * that name another instance, works on a few at a time, and tells its load.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const SLOTS = 6;
const QUEUE = 24;

/** A runner that registers itself in the store. */
export class Runner {
  /**
   * @param options - id, service, zone, host, port, store, workMs, heartbeatMs, onRun (called with
   *   each request that begins to run)
   */
  constructor(options) {
    this.options = options;
    this.sequence = 0;
    this.born = Date.now();
    this.running = 0;
    this.inWork = new Set();
    this.waiting = [];
    this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) =>
      this.receive(request, response),
    );
  }

  get address() {
    return `${this.options.host}:${this.options.port}`;
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.options.port, this.options.host, resolve);
    });
    this.beat();
    this.timer = setInterval(() => this.beat(), this.options.heartbeatMs);
  }

  /** Writes its entry. */
  beat(state = "ready") {
    const { id, service, zone, store } = this.options;
    this.sequence += 1;
    store.put("keyed.servers", id, {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots: SLOTS,
      state,
      "cold-remaining-ms": 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Leaves without having reported it: its entry is removed, and it goes on serving. */
  leave() {
    clearInterval(this.timer);
    this.options.store.put("keyed.servers", this.options.id, undefined);
    return performance.now();
  }

  /**
   * Exits: whatever it works on is cut off.
   *
   * @returns the ids of these requests
   */
  exit() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
    return [...this.inWork];
  }

  receive(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const id = request.headers["gorsefold-request-id"] ?? "";
      const body = Buffer.concat(chunks);
      if (request.headers["gorsefold-expect-instance"] !== this.options.id) {
        this.reject(response, 421, id);
        return;
      }
      const item = { id, request, response, body };
      if (this.running < SLOTS) this.work(item);
      else if (this.waiting.length < QUEUE) this.waiting.push(item);
      else this.reject(response, 503, id);
    });
  }

  reject(response, status, id) {
    response.writeHead(status, {
      "gorsefold-request-id": id,
      "gorsefold-not-executed": "1",
      "content-length": 0,
    });
    response.end();
  }

  work(item) {
    const { id, request, response } = item;
    if (response.destroyed) {
      this.next();
      return;
    }
    this.running += 1;
    this.inWork.add(id);
    this.options.onRun?.({ runner: this.options.id, id, request, at: performance.now() });
    setTimeout(() => {
      this.running -= 1;
      this.inWork.delete(id);
      if (!response.destroyed) this.answer(id, response);
      this.next();
    }, this.options.workMs);
  }

  next() {
    const item = this.waiting.shift();
    if (item !== undefined) this.work(item);
  }

  answer(id, response) {
    const body = Buffer.from(`${this.options.id} ran ${id}`);
    response.writeHead(200, {
      "gorsefold-request-id": id,
      "gorsefold-response-seal": `${this.options.id}.${id}`,
      "gorsefold-server-load": `${this.running},${this.waiting.length},${SLOTS}`,
      "content-length": body.length,
    });
    response.end(body);
  }
}
