/**
 * Bounds what the bodies of callers take of the process's memory, all together. Small bodies are read as they
 * come. A large one first needs a place, so that few are read at once; the others are held back by TCP, and
 * a caller that is slow gives its place to those that wait.
 */
import { AlignedInterval, TICK_MS } from "../core/aligned";
import { DEFAULT_HELD_BYTES } from "../core/bytebudget";
import type { Clock, Moment } from "../core/clock";
import { collectGarbage, type GarbageCollector } from "../core/collector";

/** Up to this size a body is small, in bytes. */
export const SMALL_BODY_BYTES = 64 * 1024;
/** The parts of the budget that large bodies and small ones may take. */
const LARGE_SHARE = 0.5;
const SMALL_SHARE = 0.2;
/** What a byte of a large body costs: the parser's copies of it take as much again until they are collected. */
const COST_PER_BYTE = 2;
/** The part of what small bodies may take that those may have which wait for a place. */
const WAITING_SHARE = 0.5;
/** How long a body may wait for a place, in milliseconds. */
const MAX_WAIT_MS = 5000;
/** While others wait: how long a body may bring no byte, and how long it may be read, in milliseconds. */
const CONTENDED_STALL_MS = 1000;
const CONTENDED_READ_MS = 5000;

/** A body that is being read. */
export interface ReadingBody {
  /** When its last byte came. */
  readonly lastByteAt: Moment;
  /** Called once it has a place. */
  onPlace(): void;
  /** Called if it has waited too long, or there are too many that wait. */
  onNoPlace(): void;
  /** Called if it has to give its place to others. */
  onYield(): void;
}

interface Place {
  readonly bytes: number;
  readonly since: Moment;
  isRead: boolean;
}

interface WaitingBody {
  readonly body: ReadingBody;
  readonly bytes: number;
  readonly deadline: Moment;
}

/** Told of each body that was not read for want of room. */
export type IntakeListener = (reason: string) => void;

/**
 * The bodies that one process reads or holds.
 *
 * @example
 * const intake = new BodyIntake(clock, 20 * 1024 * 1024);
 * if (!intake.addSmall(600)) refuse();
 */
export class BodyIntake {
  private smallBytes = 0;
  private largeBytes = 0;
  private readonly places = new Map<ReadingBody, Place>();
  private waiting: WaitingBody[] = [];
  /** Of bodies that did not come whole, so that nothing refers to them. */
  private readonly freeBuffers: Buffer[] = [];
  private timer: AlignedInterval | undefined;
  /** Bytes of bodies that are over since garbage was collected last. */
  private garbageBytes = 0;

  /** @param maxBytes - the budget of all that the process holds for others */
  constructor(
    private readonly clock: Clock,
    private readonly maxBytes = DEFAULT_HELD_BYTES,
    private readonly onRefused: IntakeListener = () => undefined,
    private readonly collect: GarbageCollector = collectGarbage,
  ) {}

  /** Number of bytes that bodies hold. */
  get held(): number {
    return this.smallBytes + this.largeBytes;
  }

  /** Number of bodies that wait for a place. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Adds bytes of a small body; negative ones give them back. Returns false if there is no room. */
  addSmall(bytes: number): boolean {
    if (bytes > 0 && this.smallBytes + bytes > this.maxBytes * SMALL_SHARE) {
      this.onRefused("small bodies");
      return false;
    }
    this.smallBytes += bytes;
    return true;
  }

  /**
   * Asks for the place of a large body; it is told when it has one, which may be at once.
   *
   * @param length - its length, or the longest that it may have, in bytes
   */
  requestPlace(body: ReadingBody, length: number): void {
    const bytes = COST_PER_BYTE * length;
    const deadline = this.clock.now() + MAX_WAIT_MS;
    if (this.waiting.length === 0 && this.hasRoom(bytes)) {
      this.givePlace(body, bytes);
      return;
    }
    if (
      (this.waiting.length + 1) * SMALL_BODY_BYTES >
      this.maxBytes * SMALL_SHARE * WAITING_SHARE
    ) {
      this.onRefused("waiting bodies");
      body.onNoPlace();
      return;
    }
    this.waiting.push({ body, bytes, deadline });
    this.timer ??= new AlignedInterval(TICK_MS, () => {
      this.check();
    });
  }

  /** Takes the buffer for a body that has a place. */
  takeBuffer(bytes: number): Buffer {
    const index = this.freeBuffers.findIndex(({ length }) => length >= bytes);
    const kept = index < 0 ? undefined : this.freeBuffers.splice(index, 1)[0];
    return kept ?? Buffer.allocUnsafeSlow(bytes);
  }

  /** Records that a body has come whole; it keeps its place until it is released. */
  endReading(body: ReadingBody): void {
    const place = this.places.get(body);
    if (place !== undefined) place.isRead = true;
  }

  /**
   * Gives back the place of a body, or its wait for one.
   *
   * @param unused - its buffer, if nobody else refers to it
   */
  release(body: ReadingBody, unused?: Buffer): void {
    this.waiting = this.waiting.filter((other) => other.body !== body);
    const place = this.places.get(body);
    if (place === undefined) return;
    this.places.delete(body);
    this.largeBytes -= place.bytes;
    if (unused !== undefined) this.keepBuffer(unused);
    this.giveWaiting();
  }

  /** Counts bytes that nobody refers to any more; has them collected once they are as many as the budget. */
  addGarbage(bytes: number): void {
    this.garbageBytes += bytes;
    if (this.garbageBytes <= this.maxBytes) return;
    this.garbageBytes = 0;
    this.collect();
  }

  /** Stops the checks. */
  close(): void {
    this.timer?.close();
    this.timer = undefined;
  }

  /** Has slow bodies yield to those that wait, and ends waits that are too long. */
  check(): void {
    const now = this.clock.now();
    for (const { body, deadline } of [...this.waiting]) {
      if (deadline > now) continue;
      this.release(body);
      this.onRefused("wait for a place");
      body.onNoPlace();
    }
    if (this.waiting.length === 0) {
      this.close();
      return;
    }
    for (const [body, { since, isRead }] of [...this.places]) {
      const isSlow = now - body.lastByteAt > CONTENDED_STALL_MS || now - since > CONTENDED_READ_MS;
      if (!isRead && isSlow) body.onYield();
    }
  }

  /** One large body always has room, however small the budget. */
  private hasRoom(bytes: number): boolean {
    return this.largeBytes === 0 || this.largeBytes + bytes <= this.maxBytes * LARGE_SHARE;
  }

  private givePlace(body: ReadingBody, bytes: number): void {
    this.largeBytes += bytes;
    this.places.set(body, { bytes, since: this.clock.now(), isRead: false });
    body.onPlace();
  }

  private giveWaiting(): void {
    for (let next = this.waiting[0]; next !== undefined; next = this.waiting[0]) {
      if (!this.hasRoom(next.bytes)) return;
      this.waiting.shift();
      this.givePlace(next.body, next.bytes);
    }
  }

  private keepBuffer(buffer: Buffer): void {
    const kept = this.freeBuffers.reduce((sum, { length }) => sum + length, 0);
    const isFirst = this.freeBuffers.length === 0;
    if (isFirst || kept + buffer.length <= this.maxBytes * LARGE_SHARE)
      this.freeBuffers.push(buffer);
  }
}
