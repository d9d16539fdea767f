/**
 * A model of one engine in virtual time: steps of a batch, prompts read in chunks between them, memory by
 * blocks with preemption, holds and handles that lapse.
 */
import { EngineStage } from "../../src/fleet/directory";

/** What an engine can do. */
export interface EngineFigures {
  /** Requests at once. */
  readonly slots: number;
  readonly capacityTokens: number;
  readonly blockTokens: number;
  /** A step with nothing in the batch, in milliseconds. */
  readonly stepMs: number;
  /** What each request adds to a step, in milliseconds. */
  readonly stepMsPerRequest: number;
  /** What a thousand tokens of context add to a step, in milliseconds. */
  readonly stepMsPerThousand: number;
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that are read between two steps. */
  readonly chunkTokens: number;
  /** From the last chunk of a prompt to its handle, in milliseconds. */
  readonly firstMs: number;
  /** What a transfer of a read prompt takes to begin, in milliseconds, and its speed. */
  readonly transferMs: number;
  readonly transferTokensPerMs: number;
  readonly handleTtlMs: number;
  readonly holdTtlMs: number;
}

/** The slower reading of prompts between the steps of a decode engine: half the speed, small chunks. */
const DECODE_PREFILL = { speed: 0.5, chunk: 0.25 } as const;

/** A generation at an engine. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** True where its prompt was read by another engine. */
  readonly isTransferred: boolean;
  readonly onFirst: (now: number) => void;
  readonly onEnd: (now: number) => void;
  /** The engine was lost before the end. */
  readonly onLost: () => void;
}

interface Running {
  readonly job: EngineJob;
  /** When it came to run; the newest is preempted first. */
  startedAt: number;
  /** From when on it takes part in steps. */
  readyAt: number;
  toRead: number;
  made: number;
}

interface Prompt {
  readonly tokens: number;
  left: number;
  /** Gives the handle, and when it is there; undefined where the engine was lost. */
  readonly onRead: (givenAt: number, handle: string | undefined) => void;
}

interface Kept {
  readonly tokens: number;
  readonly deadline: number;
}

/** What an engine did. */
export interface EngineCounts {
  readTokens: number;
  /** Prompt tokens whose result nobody took, or that were read again. */
  wastedTokens: number;
  preempted: number;
  rejectedHolds: number;
}

/** One engine. */
export class EngineModel {
  readonly counts: EngineCounts = {
    readTokens: 0,
    wastedTokens: 0,
    preempted: 0,
    rejectedHolds: 0,
  };
  private readonly running: Running[] = [];
  private readonly prompts: Prompt[] = [];
  private readonly holds = new Map<string, Kept>();
  private readonly handles = new Map<string, Kept>();
  private readonly waiting: Running[] = [];
  private stepEnd: number | undefined;
  private backAt = 0;
  private names = 0;

  constructor(
    readonly id: string,
    readonly stage: EngineStage,
    private readonly figures: EngineFigures,
  ) {}

  /** Tokens of memory that are taken or set aside. */
  get usedTokens(): number {
    let used = 0;
    for (const item of this.running) used += this.computeBlocks(item);
    for (const { tokens } of this.holds.values()) used += tokens;
    for (const { tokens } of this.handles.values()) used += tokens;
    return used;
  }

  /** When something happens here next; undefined while nothing runs. */
  get nextAt(): number | undefined {
    return this.stepEnd;
  }

  /** Sets memory aside; undefined where there is none, or no slot. */
  takeHold(tokens: number, now: number): string | undefined {
    this.dropLapsed(now);
    if (now < this.backAt) return undefined;
    const taken = this.running.length + this.holds.size;
    if (taken >= this.figures.slots || this.usedTokens + tokens > this.figures.capacityTokens) {
      this.counts.rejectedHolds += 1;
      return undefined;
    }
    const name = this.createName();
    this.holds.set(name, { tokens, deadline: now + this.figures.holdTtlMs });
    return name;
  }

  /** Has a prompt read, to be fetched by its handle. */
  prefill(tokens: number, now: number, onRead: Prompt["onRead"]): void {
    if (now < this.backAt) {
      onRead(now, undefined);
      return;
    }
    this.prompts.push({ tokens, left: tokens, onRead });
    this.begin(now);
  }

  /** Gives a read prompt away; false where it has lapsed. */
  takeHandle(handle: string, now: number): boolean {
    this.dropLapsed(now);
    return this.handles.delete(handle);
  }

  /** Runs a generation under its hold. */
  run(job: EngineJob, hold: string, now: number): void {
    if (!this.holds.delete(hold) && now < this.backAt) {
      job.onLost();
      return;
    }
    const { transferMs, transferTokensPerMs } = this.figures;
    const moveMs = job.isTransferred ? transferMs + job.promptTokens / transferTokensPerMs : 0;
    const toRead = job.isTransferred ? 0 : job.promptTokens;
    this.running.push({ job, startedAt: now, readyAt: now + moveMs, toRead, made: 0 });
    this.begin(now);
  }

  /** Loses all that the engine has, and takes nothing until it is back. */
  crash(now: number, backAt: number): void {
    const lost = [...this.running, ...this.waiting].map((item) => item.job);
    const prompts = [...this.prompts];
    for (const item of [...this.running, ...this.waiting]) {
      this.counts.wastedTokens += item.job.promptTokens - item.toRead;
    }
    this.running.length = 0;
    this.waiting.length = 0;
    this.prompts.length = 0;
    this.holds.clear();
    this.handles.clear();
    this.stepEnd = undefined;
    this.backAt = backAt;
    for (const prompt of prompts) prompt.onRead(now, undefined);
    for (const job of lost) job.onLost();
  }

  /** Ends the step that is due, and begins the next. */
  advance(now: number): void {
    if (this.stepEnd === undefined || this.stepEnd > now) return;
    this.stepEnd = undefined;
    this.dropLapsed(now);
    if (this.stage === EngineStage.prefill) this.endChunk(now);
    else this.endStep(now);
    this.readmit(now);
    this.begin(now);
  }

  private begin(now: number): void {
    if (this.stepEnd !== undefined) return;
    const ms = this.stage === EngineStage.prefill ? this.computeChunkMs() : this.computeStepMs(now);
    if (ms !== undefined) this.stepEnd = now + ms;
  }

  private computeChunkMs(): number | undefined {
    const [first] = this.prompts;
    if (first === undefined) return undefined;
    return Math.min(first.left, this.figures.chunkTokens) / this.figures.prefillTokensPerMs;
  }

  /** The handle comes some time after the last chunk; the next prompt is read meanwhile. */
  private endChunk(now: number): void {
    const [first] = this.prompts;
    if (first === undefined) return;
    const read = Math.min(first.left, this.figures.chunkTokens);
    first.left -= read;
    this.counts.readTokens += read;
    if (first.left > 0) return;
    this.prompts.shift();
    const handle = this.createName();
    const givenAt = now + this.figures.firstMs;
    this.handles.set(handle, {
      tokens: first.tokens,
      deadline: givenAt + this.figures.handleTtlMs,
    });
    first.onRead(givenAt, handle);
  }

  private computeStepMs(now: number): number | undefined {
    if (this.running.length === 0) return undefined;
    const { stepMs, stepMsPerRequest, stepMsPerThousand, prefillTokensPerMs } = this.figures;
    const active = this.running.filter((item) => item.readyAt <= now);
    const context = active.reduce((sum, item) => sum + this.computeTokens(item), 0);
    const reader = active.find((item) => item.toRead > 0);
    const chunk = Math.min(reader?.toRead ?? 0, this.computeDecodeChunk());
    const readMs = chunk / (prefillTokensPerMs * DECODE_PREFILL.speed);
    return (
      stepMs + stepMsPerRequest * active.length + (stepMsPerThousand * context) / 1000 + readMs
    );
  }

  private endStep(now: number): void {
    const active = this.running.filter((item) => item.readyAt <= now);
    const reader = active.find((item) => item.toRead > 0);
    for (const item of active) {
      if (item.toRead === 0) this.makeToken(item, now);
    }
    if (reader !== undefined) this.readChunk(reader);
    while (this.usedTokens > this.figures.capacityTokens && this.running.length > 1) this.preempt();
  }

  private makeToken(item: Running, now: number): void {
    item.made += 1;
    if (item.made === 1) item.job.onFirst(now);
    if (item.made < item.job.outputTokens) return;
    this.running.splice(this.running.indexOf(item), 1);
    item.job.onEnd(now);
  }

  private readChunk(item: Running): void {
    const read = Math.min(item.toRead, this.computeDecodeChunk());
    item.toRead -= read;
    this.counts.readTokens += read;
  }

  /** The newest is read in again, with what it had made, once there is room. */
  private preempt(): void {
    const newest = this.running.reduce((a, b) => (b.startedAt >= a.startedAt ? b : a));
    this.running.splice(this.running.indexOf(newest), 1);
    this.counts.preempted += 1;
    this.counts.wastedTokens += newest.job.promptTokens + newest.made - newest.toRead;
    newest.toRead = newest.job.promptTokens + newest.made;
    this.waiting.push(newest);
  }

  private dropLapsed(now: number): void {
    for (const [name, { deadline }] of this.holds) if (deadline <= now) this.holds.delete(name);
    for (const [name, { deadline, tokens }] of this.handles) {
      if (deadline > now) continue;
      this.handles.delete(name);
      this.counts.wastedTokens += tokens;
    }
    this.readmit(now);
  }

  private readmit(now: number): void {
    const [first] = this.waiting;
    if (first === undefined) return;
    const need = this.computeBlocks(first);
    if (this.usedTokens + need > this.figures.capacityTokens) return;
    this.waiting.shift();
    first.startedAt = now;
    first.readyAt = now;
    this.running.push(first);
  }

  private computeDecodeChunk(): number {
    return this.figures.chunkTokens * DECODE_PREFILL.chunk;
  }

  private computeTokens(item: Running): number {
    return item.job.promptTokens + item.made;
  }

  private computeBlocks(item: Running): number {
    const { blockTokens } = this.figures;
    return Math.ceil(this.computeTokens(item) / blockTokens) * blockTokens;
  }

  private createName(): string {
    this.names += 1;
    return `${this.id}/${this.names}`;
  }
}
