/**
 * Reads the bodies of callers' requests, up to a limit. A caller may be slow, but not silent for longer than a
 * timeout, nor take several times as long for the whole: one that stopped amid its body would hold its
 * connection for good. What comes is kept in one piece, whatever the sizes in which it is sent.
 */
import type { IncomingMessage } from "node:http";
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../core/clock";
import { createNotRunRefusal, Reason, type Refusal } from "../core/outcome";
import { ReadFirstTimer } from "../core/readfirst";
import { type BodyIntake, type ReadingBody, SMALL_BODY_BYTES } from "./bodyintake";

/** How many times its stall timeout a whole body may take. */
const WHOLE_TIMEOUTS = 4;
/** When a caller may send a body again for which there was no room, in milliseconds. */
const NO_ROOM_RETRY_MS = 1000;

/** Why a body was not read completely. */
export const BodyFailure = {
  tooLarge: "too large",
  /** No byte of it came within the timeout, or the whole took too long. */
  stalled: "stalled",
  /** Too many other bodies are being read. */
  noRoom: "no room",
  /** The caller left: its response is closed, and nothing was run. */
  callerGone: "caller gone",
} as const;
export type BodyFailure = (typeof BodyFailure)[keyof typeof BodyFailure];

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** How long the caller may send no byte of it, in milliseconds. */
  readonly stallTimeoutMs: number;
}

/** A body that was read completely. */
export interface CallerBody {
  readonly bytes: Buffer;
  /** Gives back its room, once nobody needs the bytes any more. */
  readonly release: () => void;
}

/** What bodies are read with. */
export interface BodyParts {
  readonly clock: Clock;
  readonly intake: BodyIntake;
  readonly limits: BodyLimits;
}

/**
 * Reads a body. After a failure the rest is not read, and the connection can't carry another request.
 *
 * @example
 * const limits = { maxBytes: 65_536, stallTimeoutMs: 10_000 };
 * await readCallerBody(request, { clock, intake, limits });
 */
export function readCallerBody(
  request: IncomingMessage,
  parts: BodyParts,
): Promise<E.Either<BodyFailure, CallerBody>> {
  return new Promise((resolve) => {
    new BodyReader(request, parts, resolve).start();
  });
}

class BodyReader implements ReadingBody {
  lastByteAt: Moment;
  private readonly deadline: Moment;
  private buffer: Buffer = Buffer.alloc(0);
  private size = 0;
  /** Bytes that are counted as those of a small body. */
  private smallBytes = 0;
  private hasPlace = false;
  private isWaiting = false;
  private isOver = false;
  private timer: ReadFirstTimer | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly parts: BodyParts,
    private readonly resolve: (body: E.Either<BodyFailure, CallerBody>) => void,
  ) {
    const { clock, limits } = parts;
    this.lastByteAt = clock.now();
    this.deadline = this.lastByteAt + WHOLE_TIMEOUTS * limits.stallTimeoutMs;
  }

  start(): void {
    const length = this.readLength();
    if (length !== undefined && length > this.parts.limits.maxBytes) {
      this.fail(BodyFailure.tooLarge);
      return;
    }
    this.armTimer();
    this.request.once("close", this.onClose);
    this.request.on("error", this.onClose);
    this.request.once("end", this.onEnd);
    if (length !== undefined && length > SMALL_BODY_BYTES) this.waitForPlace(length);
    else this.request.on("data", this.onData);
  }

  onPlace(): void {
    this.hasPlace = true;
    const large = this.parts.intake.takeBuffer(this.readLength() ?? this.parts.limits.maxBytes);
    this.buffer.copy(large, 0, 0, this.size);
    this.buffer = large;
    this.releaseSmall();
    if (!this.isWaiting) return;
    this.isWaiting = false;
    this.lastByteAt = this.parts.clock.now();
    this.request.on("data", this.onData);
    this.request.resume();
    this.request.socket.resume();
  }

  onNoPlace(): void {
    this.fail(BodyFailure.noRoom);
  }

  onYield(): void {
    this.fail(BodyFailure.stalled);
  }

  private readonly onData = (piece: Buffer): void => {
    const { limits, clock } = this.parts;
    const size = this.size + piece.length;
    if (size > limits.maxBytes) {
      this.fail(BodyFailure.tooLarge);
      return;
    }
    if (!this.makeRoom(size)) {
      this.fail(BodyFailure.noRoom);
      return;
    }
    piece.copy(this.buffer, this.size);
    this.size = size;
    this.lastByteAt = clock.now();
    // What was read from the socket together with this piece comes in this turn still.
    if (size > SMALL_BODY_BYTES && !this.hasPlace && !this.isWaiting) {
      this.isWaiting = true;
      queueMicrotask(() => {
        if (!this.isOver) this.waitForPlace(limits.maxBytes);
      });
    }
  };

  private readonly onEnd = (): void => {
    const { intake } = this.parts;
    if (this.hasPlace) intake.endReading(this);
    this.finish(
      E.right({
        bytes: this.buffer.subarray(0, this.size),
        release: () => {
          this.releaseSmall();
          intake.release(this);
          intake.addGarbage(this.size + this.buffer.length);
        },
      }),
    );
  };

  private readonly onClose = (): void => {
    if (!this.isOver) this.giveUp(BodyFailure.callerGone);
  };

  /** Holds the rest back until there is a place. */
  private waitForPlace(bytes: number): void {
    this.isWaiting = true;
    this.request.off("data", this.onData);
    this.request.pause();
    this.request.socket.pause();
    this.parts.intake.requestPlace(this, bytes);
  }

  /** Makes the buffer large enough; returns false if there is no room. */
  private makeRoom(size: number): boolean {
    if (size <= this.buffer.length) return true;
    const length = Math.min(Math.max(size, 2 * this.buffer.length), this.parts.limits.maxBytes);
    if (!this.parts.intake.addSmall(length - this.smallBytes)) return false;
    this.smallBytes = length;
    const larger = Buffer.allocUnsafeSlow(length);
    this.buffer.copy(larger, 0, 0, this.size);
    this.buffer = larger;
    return true;
  }

  private releaseSmall(): void {
    this.parts.intake.addSmall(-this.smallBytes);
    this.smallBytes = 0;
  }

  private readLength(): number | undefined {
    const text = this.request.headers["content-length"];
    return text === undefined ? undefined : Number(text);
  }

  /** One timer watches the silence and the whole; it is not set anew with each piece. */
  private armTimer(): void {
    const { clock, limits } = this.parts;
    const dueAt = Math.min(this.deadline, this.lastByteAt + limits.stallTimeoutMs);
    this.timer = new ReadFirstTimer(Math.max(0, dueAt - clock.now()), () => {
      const now = clock.now();
      const isSilent = !this.isWaiting && now - this.lastByteAt >= limits.stallTimeoutMs;
      if (isSilent || now >= this.deadline) {
        this.fail(BodyFailure.stalled);
        return;
      }
      if (this.isWaiting) this.lastByteAt = now;
      this.armTimer();
    });
  }

  private fail(failure: BodyFailure): void {
    if (this.isOver) return;
    this.request.pause();
    this.request.socket.pause();
    this.giveUp(failure);
  }

  private giveUp(failure: BodyFailure): void {
    const { intake } = this.parts;
    this.releaseSmall();
    intake.release(this, this.hasPlace ? this.buffer : undefined);
    intake.addGarbage(this.hasPlace ? this.size : this.size + this.buffer.length);
    this.buffer = Buffer.alloc(0);
    this.finish(E.left(failure));
  }

  private finish(body: E.Either<BodyFailure, CallerBody>): void {
    this.isOver = true;
    this.timer?.close();
    this.request.off("data", this.onData);
    this.request.off("end", this.onEnd);
    this.resolve(body);
  }
}

/**
 * Creates the refusal of a request whose body was not read completely.
 *
 * @example
 * createBodyRefusal(BodyFailure.stalled, { maxBytes: 65_536, stallTimeoutMs: 10_000 }).status; // 408
 */
export function createBodyRefusal(failure: BodyFailure, limits: BodyLimits): Refusal {
  if (failure === BodyFailure.tooLarge) {
    const message = `the body is larger than ${limits.maxBytes} bytes`;
    return createNotRunRefusal(413, Reason.bodyTooLarge, message);
  }
  if (failure === BodyFailure.stalled) {
    const message = `no byte of the body came for ${limits.stallTimeoutMs} ms, or the whole took too long`;
    return createNotRunRefusal(408, Reason.badRequest, message);
  }
  if (failure === BodyFailure.noRoom) {
    const message = "too many bodies are being read";
    return createNotRunRefusal(503, Reason.overloaded, message, NO_ROOM_RETRY_MS);
  }
  return createNotRunRefusal(400, Reason.badRequest, "the body did not come whole");
}
