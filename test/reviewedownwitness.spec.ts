/**
 * The findings of docs/incidents/review-witnesses.md, played against the product's own interface: unframed answers of plain
 * services. Guards against a part that counts as whole where the ends of a dying process lie apart, and against sound answers
 * that break off, or hold other requests up, because of the connection that witnesses them.
 */
import assert from "node:assert/strict";
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
/** Less than the connections of a process that dies may end apart, in milliseconds. */
const NEAR_MS = 12;
/** More than that, in milliseconds. */
const APART_MS = 40;
const LARGE_BYTES = 20_000;
const SMALL_BYTES = 1000;
const REST = WHOLE.slice(PART.length);
const CUT = { body: undefined, isSent: true, reasons: ["down"] };
const SOUND = { body: WHOLE, isSent: undefined, reasons: [] };

afterEach(closeAll);

const endWhole = (socket: Socket) => {
  socket.write(HEAD + PART);
  setTimeout(() => socket.end(REST), AMID_MS);
};

/** Writes a part of an answer, and does something amid it. */
function answerPart(amid: (socket: Socket, self: ServiceProcess) => void) {
  return (socket: Socket, self: ServiceProcess) => {
    socket.write(HEAD + PART);
    setTimeout(() => {
      amid(socket, self);
    }, AMID_MS);
  };
}

/** Lets the next process of a service listen at the port of one that has just died. */
function follow(port: number): void {
  void new ServiceProcess(endWhole).listen(port);
}

describe("a part of an unframed answer to the product's own interface", () => {
  it("is not whole if the witness ends 40 ms after it and the process stays dead", async () => {
    const service = new ServiceProcess(
      answerPart((socket, self) => {
        self.stopListening();
        socket.end();
        setTimeout(() => {
          self.die();
        }, APART_MS);
      }),
    );
    assert.deepEqual(await callService(await service.listen()), CUT);
  });

  for (const bytes of [SMALL_BYTES, LARGE_BYTES]) {
    it(`is not whole if ${bytes} bytes were uploaded just before and the process is back at once`, async () => {
      const service = new ServiceProcess(
        answerPart((_, self) => {
          self.die();
          follow(port);
        }),
      );
      const port = await service.listen();
      assert.deepEqual(await callService(port, bytes), CUT);
    });
  }

  it("is not whole if its last bytes arrive 40 ms after the end of the witness", async () => {
    const service = new ServiceProcess(
      answerPart((socket, self) => {
        self.stopListening();
        self.endOthers(socket);
        follow(port);
        setTimeout(() => socket.end("!"), APART_MS);
      }),
    );
    const port = await service.listen();
    assert.deepEqual(await callService(port), CUT);
  });
});

describe("a part of an unframed answer to the product's own interface, of a process whose connections end one after another", () => {
  for (const isBack of [true, false]) {
    it(`is not whole if the witness ends 40 ms before it and the process ${isBack ? "is back at once" : "stays dead"}`, async () => {
      const service = new ServiceProcess(
        answerPart((socket, self) => {
          self.endOthers(socket);
          const ended = new Set(self.sockets);
          setTimeout(() => {
            self.stopListening();
            socket.end();
            for (const other of self.sockets) if (!ended.has(other)) other.resetAndDestroy();
            if (isBack) follow(port);
          }, APART_MS);
        }),
      );
      const port = await service.listen();
      assert.deepEqual(await callService(port), CUT);
    });
  }
});

describe("a sound unframed answer to the product's own interface, of a service that stays up", () => {
  it(`is whole if ${LARGE_BYTES} bytes were uploaded just before it`, async () => {
    const service = new ServiceProcess(endWhole);
    assert.deepEqual(await callService(await service.listen(), LARGE_BYTES), SOUND);
  });

  it("is whole if the service was told to stop amid it: it listens no more, and ends what is under way", async () => {
    const service = new ServiceProcess(
      answerPart((socket, self) => {
        self.stopListening();
        setTimeout(() => socket.end(REST), AMID_MS);
      }),
    );
    assert.deepEqual(await callService(await service.listen()), SOUND);
  });

  it("is whole if the service ends its unused connections right behind it", async () => {
    const service = new ServiceProcess(
      answerPart((socket, self) => {
        socket.end(REST);
        self.endOthers(socket);
      }),
    );
    assert.deepEqual(await callService(await service.listen()), SOUND);
  });

  it("is whole if it takes 12 ms and the service ends each second connection", async () => {
    const service = new ServiceProcess((socket) => {
      socket.write(HEAD + PART);
      setTimeout(() => socket.end(REST), NEAR_MS);
    });
    service.onAccepted((socket) => {
      if (service.sockets.length > 1) socket.end();
    });
    assert.deepEqual(await callService(await service.listen()), SOUND);
  });

  it("is whole if the service's timeout of unused connections is as long as it", async () => {
    const service = new ServiceProcess(endWhole).onAccepted((socket) => {
      const timer = setTimeout(() => socket.end(), AMID_MS);
      socket.once("data", () => {
        clearTimeout(timer);
      });
    });
    assert.deepEqual(await callService(await service.listen()), SOUND);
  });
});

/** How long a service that takes one connection after another waits for a request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 20;

/** A service whose workers take a connection each until it is closed. */
class WorkingService {
  readonly process: ServiceProcess;
  private readonly waiting: Socket[] = [];

  constructor(
    private freeWorkers: number,
    private readonly answerMs: () => number,
    private readonly requestTimeoutMs = Infinity,
  ) {
    this.process = new ServiceProcess(() => undefined).onAccepted((socket) => {
      socket.pause();
      this.waiting.push(socket);
      this.takeNext();
    });
  }

  private takeNext(): void {
    if (this.freeWorkers === 0) return;
    const socket = this.waiting.shift();
    if (socket === undefined) return;
    this.freeWorkers -= 1;
    socket.once("close", () => {
      this.freeWorkers += 1;
      this.takeNext();
    });
    this.read(socket);
  }

  private read(socket: Socket): void {
    const timer =
      this.requestTimeoutMs === Infinity
        ? undefined
        : setTimeout(() => socket.end(), this.requestTimeoutMs);
    closeLater(() => {
      clearTimeout(timer);
    });
    socket.once("data", () => {
      clearTimeout(timer);
      socket.write(HEAD + PART);
      setTimeout(() => socket.end(REST), this.answerMs());
    });
    socket.resume();
  }
}

describe("a sound unframed answer to the product's own interface, of a service with few workers", () => {
  it("is whole if it has one, which ends connections without a request", async () => {
    const service = new WorkingService(1, () => AMID_MS, REQUEST_TIMEOUT_MS);
    assert.deepEqual(await callService(await service.process.listen()), SOUND);
  });

  it("does not hold a request up that the second of its two workers could run", async () => {
    const times = [800, 20];
    const service = new WorkingService(2, () => times.shift() ?? 0);
    const port = await service.process.listen();
    const first = callService(port);
    await pause(AMID_MS);
    const askedAt = performance.now();
    const second = await callService(port);
    const tookMs = performance.now() - askedAt;
    assert.deepEqual([second, await first], [SOUND, SOUND]);
    assert.ok(tookMs < 400, `${tookMs} ms`);
  });

  it("does not take the last connection that the service allows from the next request", async () => {
    const service = new ServiceProcess(endWhole).onAccepted((socket) => {
      const open = service.sockets.filter(({ destroyed }) => !destroyed);
      if (open.length > 2) socket.resetAndDestroy();
    });
    const port = await service.listen();
    const first = callService(port);
    await pause(APART_MS);
    assert.deepEqual([await callService(port), await first], [SOUND, SOUND]);
  });
});
