/**
 * Simulates one prefill or decode engine in virtual time: batched decode steps with chunked prefill between
 * them, block-wise KV-cache memory with preemption, and holds and handles that expire.
 */
import { EngineStage } from "../../src/fleet/entries";
import type { EndpointLoad } from "../../src/forward/requests";

/** The capacity and speed of a simulated engine. */
export interface EngineParameters {
  /** Requests that can run at the same time. */
  readonly slots: number;
  readonly capacityTokens: number;
  readonly blockTokens: number;
  /** Duration of a decode step with an empty batch, in milliseconds. */
  readonly stepMs: number;
  /** Time that each request of the batch adds to a step, in milliseconds. */
  readonly stepMsPerRequest: number;
  /** Time that a thousand tokens of context add to a step, in milliseconds. */
  readonly stepMsPerThousandTokens: number;
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that are prefilled in one chunk, between two steps. */
  readonly chunkTokens: number;
  /** Delay from the last chunk of a prompt until its handle is available, in milliseconds. */
  readonly handleDelayMs: number;
  /** Setup time of the transfer of a prefilled prompt to a decode engine, in milliseconds, and its speed. */
  readonly transferSetupMs: number;
  readonly transferTokensPerMs: number;
  readonly handleTtlMs: number;
  readonly holdTtlMs: number;
}

/**
 * A decode engine prefills prompts between its steps more slowly than a prefill engine does: at half the
 * speed and in chunks of a quarter of the size.
 */
const DECODE_PREFILL_FACTORS = { speed: 0.5, chunk: 0.25 } as const;

/** A generation that runs on an engine. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** True if a prefill engine processed the prompt and its result is transferred. */
  readonly isTransferred: boolean;
  readonly onFirstToken: (now: number) => void;
  readonly onEnd: (now: number) => void;
  /** Called when the engine crashes before the generation ends. */
  readonly onLost: () => void;
}

interface RunningJob {
  readonly job: EngineJob;
  /** When it was admitted to the batch; the newest job is preempted first. */
  startedAt: number;
  /** When the transfer of its prompt ends; it takes part in steps from then on. */
  readyAt: number;
  unreadTokens: number;
  generatedTokens: number;
}

interface PrefillTask {
  readonly tokens: number;
  remainingTokens: number;
  /**
   * Called with the handle and the time from which it is available; the handle is undefined if the engine
   * crashed.
   */
  readonly onPrefilled: (availableAt: number, handle: string | undefined) => void;
}

interface ExpiringReservation {
  readonly tokens: number;
  readonly expiresAt: number;
}

/** Counters of an engine's work. */
export interface EngineCounters {
  prefilledTokens: number;
  /** Tokens whose prefill result was never fetched or has to be computed again. */
  wastedTokens: number;
  preempted: number;
  rejectedHolds: number;
}

/** The machine that an engine runs on. */
export interface Machine {
  readonly dataCentre: string | undefined;
  /** How long work takes at a time, as a multiple of the usual time. */
  readonly readSlowness: (now: number) => number;
}

const USUAL_MACHINE: Machine = { dataCentre: undefined, readSlowness: () => 1 };

/** A simulated engine of one stage. */
export class EngineModel {
  readonly counts: EngineCounters = {
    prefilledTokens: 0,
    wastedTokens: 0,
    preempted: 0,
    rejectedHolds: 0,
  };
  private readonly running: RunningJob[] = [];
  private readonly prefillQueue: PrefillTask[] = [];
  private readonly holds = new Map<string, ExpiringReservation>();
  private readonly handles = new Map<string, ExpiringReservation>();
  private readonly preemptedJobs: RunningJob[] = [];
  private stepEndsAt: number | undefined;
  private recoversAt = 0;
  private lastId = 0;

  constructor(
    readonly id: string,
    readonly stage: EngineStage,
    private readonly parameters: EngineParameters,
    private readonly machine: Machine = USUAL_MACHINE,
  ) {}

  /** The data centre of its machine; undefined where all engines of a stage are in one. */
  get dataCentre(): string | undefined {
    return this.machine.dataCentre;
  }

  /** What it tells of its load; one of a usual machine tells nothing. */
  readLoad(now: number): EndpointLoad | undefined {
    if (this.machine === USUAL_MACHINE) return undefined;
    const running = this.running.length + this.holds.size;
    const waiting = this.preemptedJobs.length + this.prefillQueue.length;
    const slowness = this.machine.readSlowness(now);
    return { running, waiting, slots: this.parameters.slots, slowness };
  }

  /** Tokens of memory that running jobs occupy or that holds and handles reserve. */
  get usedTokens(): number {
    let used = 0;
    for (const item of this.running) used += this.computeBlockAlignedTokens(item);
    for (const { tokens } of this.holds.values()) used += tokens;
    for (const { tokens } of this.handles.values()) used += tokens;
    return used;
  }

  /** When the current step or prefill chunk ends; undefined while nothing runs. */
  get nextEventAt(): number | undefined {
    return this.stepEndsAt;
  }

  /**
   * Reserves memory and a slot until the hold expires.
   *
   * @returns the ID of the hold; undefined if memory or slots are exhausted or the engine is down
   */
  reserveHold(tokens: number, now: number): string | undefined {
    this.dropExpired(now);
    if (now < this.recoversAt) return undefined;
    const usedSlots = this.running.length + this.holds.size;
    if (
      usedSlots >= this.parameters.slots ||
      this.usedTokens + tokens > this.parameters.capacityTokens
    ) {
      this.counts.rejectedHolds += 1;
      return undefined;
    }
    const hold = this.createId();
    this.holds.set(hold, { tokens, expiresAt: now + this.parameters.holdTtlMs });
    return hold;
  }

  /**
   * Queues a prompt for prefill. Its result is then fetched with the handle that `onPrefilled` receives, or
   * dropped when the handle expires.
   */
  prefill(tokens: number, now: number, onPrefilled: PrefillTask["onPrefilled"]): void {
    if (now < this.recoversAt) {
      onPrefilled(now, undefined);
      return;
    }
    this.prefillQueue.push({ tokens, remainingTokens: tokens, onPrefilled });
    this.scheduleStep(now);
  }

  /** Releases a prefilled prompt to the decode engine that fetches it; returns false if the handle has expired. */
  consumeHandle(handle: string, now: number): boolean {
    this.dropExpired(now);
    return this.handles.delete(handle);
  }

  /** Starts a generation in the memory of its hold, and reports it lost if the engine is down. */
  run(job: EngineJob, hold: string, now: number): void {
    if (!this.holds.delete(hold) && now < this.recoversAt) {
      job.onLost();
      return;
    }
    const { transferSetupMs, transferTokensPerMs } = this.parameters;
    const transferMs = job.isTransferred
      ? transferSetupMs + job.promptTokens / transferTokensPerMs
      : 0;
    const unreadTokens = job.isTransferred ? 0 : job.promptTokens;
    this.running.push({
      job,
      startedAt: now,
      readyAt: now + transferMs,
      unreadTokens,
      generatedTokens: 0,
    });
    this.scheduleStep(now);
  }

  /** Drops all jobs, prompts, holds and handles, and rejects new work until `recoversAt`. */
  crash(now: number, recoversAt: number): void {
    const lostJobs = [...this.running, ...this.preemptedJobs].map((item) => item.job);
    const lostPrompts = [...this.prefillQueue];
    for (const item of [...this.running, ...this.preemptedJobs]) {
      this.counts.wastedTokens += item.job.promptTokens - item.unreadTokens;
    }
    this.running.length = 0;
    this.preemptedJobs.length = 0;
    this.prefillQueue.length = 0;
    this.holds.clear();
    this.handles.clear();
    this.stepEndsAt = undefined;
    this.recoversAt = recoversAt;
    for (const prompt of lostPrompts) prompt.onPrefilled(now, undefined);
    for (const job of lostJobs) job.onLost();
  }

  /** Finishes the step or prefill chunk that is due, and starts the next one. */
  advance(now: number): void {
    if (this.stepEndsAt === undefined || this.stepEndsAt > now) return;
    this.stepEndsAt = undefined;
    this.dropExpired(now);
    if (this.stage === EngineStage.prefill) this.finishPrefillChunk(now);
    else this.finishDecodeStep(now);
    this.resumePreempted(now);
    this.scheduleStep(now);
  }

  private scheduleStep(now: number): void {
    if (this.stepEndsAt !== undefined) return;
    const ms =
      this.stage === EngineStage.prefill
        ? this.computePrefillChunkMs()
        : this.computeDecodeStepMs(now);
    if (ms !== undefined) this.stepEndsAt = now + ms * this.machine.readSlowness(now);
  }

  private computePrefillChunkMs(): number | undefined {
    const [first] = this.prefillQueue;
    if (first === undefined) return undefined;
    return (
      Math.min(first.remainingTokens, this.parameters.chunkTokens) /
      this.parameters.prefillTokensPerMs
    );
  }

  /** The handle becomes available some time after the last chunk; the next prompt is prefilled meanwhile. */
  private finishPrefillChunk(now: number): void {
    const [first] = this.prefillQueue;
    if (first === undefined) return;
    const chunkTokens = Math.min(first.remainingTokens, this.parameters.chunkTokens);
    first.remainingTokens -= chunkTokens;
    this.counts.prefilledTokens += chunkTokens;
    if (first.remainingTokens > 0) return;
    this.prefillQueue.shift();
    const handle = this.createId();
    const availableAt = now + this.parameters.handleDelayMs;
    this.handles.set(handle, {
      tokens: first.tokens,
      expiresAt: availableAt + this.parameters.handleTtlMs,
    });
    first.onPrefilled(availableAt, handle);
  }

  private computeDecodeStepMs(now: number): number | undefined {
    if (this.running.length === 0) return undefined;
    const { stepMs, stepMsPerRequest, stepMsPerThousandTokens, prefillTokensPerMs } =
      this.parameters;
    const active = this.running.filter((item) => item.readyAt <= now);
    const contextTokens = active.reduce((sum, item) => sum + this.computeContextTokens(item), 0);
    const prefillingJob = active.find((item) => item.unreadTokens > 0);
    const chunkTokens = Math.min(prefillingJob?.unreadTokens ?? 0, this.computeDecodeChunkTokens());
    const prefillMs = chunkTokens / (prefillTokensPerMs * DECODE_PREFILL_FACTORS.speed);
    return (
      stepMs +
      stepMsPerRequest * active.length +
      (stepMsPerThousandTokens * contextTokens) / 1000 +
      prefillMs
    );
  }

  private finishDecodeStep(now: number): void {
    const active = this.running.filter((item) => item.readyAt <= now);
    const prefillingJob = active.find((item) => item.unreadTokens > 0);
    for (const item of active) {
      if (item.unreadTokens === 0) this.generateToken(item, now);
    }
    if (prefillingJob !== undefined) this.prefillChunk(prefillingJob);
    while (this.usedTokens > this.parameters.capacityTokens && this.running.length > 1)
      this.preemptNewest();
  }

  private generateToken(item: RunningJob, now: number): void {
    item.generatedTokens += 1;
    if (item.generatedTokens === 1) item.job.onFirstToken(now);
    if (item.generatedTokens < item.job.outputTokens) return;
    this.running.splice(this.running.indexOf(item), 1);
    item.job.onEnd(now);
  }

  private prefillChunk(item: RunningJob): void {
    const chunkTokens = Math.min(item.unreadTokens, this.computeDecodeChunkTokens());
    item.unreadTokens -= chunkTokens;
    this.counts.prefilledTokens += chunkTokens;
  }

  /** The preempted job prefills its prompt and its generated tokens again once there is room. */
  private preemptNewest(): void {
    const newest = this.running.reduce((a, b) => (b.startedAt >= a.startedAt ? b : a));
    this.running.splice(this.running.indexOf(newest), 1);
    this.counts.preempted += 1;
    this.counts.wastedTokens +=
      newest.job.promptTokens + newest.generatedTokens - newest.unreadTokens;
    newest.unreadTokens = newest.job.promptTokens + newest.generatedTokens;
    this.preemptedJobs.push(newest);
  }

  private dropExpired(now: number): void {
    for (const [hold, { expiresAt }] of this.holds) if (expiresAt <= now) this.holds.delete(hold);
    for (const [handle, { expiresAt, tokens }] of this.handles) {
      if (expiresAt > now) continue;
      this.handles.delete(handle);
      this.counts.wastedTokens += tokens;
    }
    this.resumePreempted(now);
  }

  private resumePreempted(now: number): void {
    const [first] = this.preemptedJobs;
    if (first === undefined) return;
    const neededTokens = this.computeBlockAlignedTokens(first);
    if (this.usedTokens + neededTokens > this.parameters.capacityTokens) return;
    this.preemptedJobs.shift();
    first.startedAt = now;
    first.readyAt = now;
    this.running.push(first);
  }

  private computeDecodeChunkTokens(): number {
    return this.parameters.chunkTokens * DECODE_PREFILL_FACTORS.chunk;
  }

  private computeContextTokens(item: RunningJob): number {
    return item.job.promptTokens + item.generatedTokens;
  }

  private computeBlockAlignedTokens(item: RunningJob): number {
    const { blockTokens } = this.parameters;
    return Math.ceil(this.computeContextTokens(item) / blockTokens) * blockTokens;
  }

  private createId(): string {
    this.lastId += 1;
    return `${this.id}/${this.lastId}`;
  }
}
