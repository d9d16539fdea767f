/**
 * Has the prompt of a generation read by a prefill engine, and manages the handle of its KV cache
 * until a decode engine takes it over or it is released.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../../core/clock";
import type { EngineLimits } from "../../fleet/config";
import { type EndpointEntry, EngineStage } from "../../fleet/entries";
import { DeadlineSignal, type CacheSource, type ForwardRequest, SendTask } from "../requests";
import type { SendBudget } from "./sendbudget";
import {
  createWorkKind,
  findNotRunEvidence,
  readWholeBody,
  type OpenResponse,
  type SendFailure,
  type ForwardContext,
  type RequestTimes,
  resetDataCentreConnections,
} from "../endpoints";
import {
  type Arrivals,
  computePrefillMs,
  computeSlowdown,
  type EngineModel,
  choosePrefill,
  type EngineLoadTracker,
  type EngineView,
} from "../engines";

/** Timeout of a prefill, as a multiple of the time that it is expected to take. */
const PREFILL_TIMEOUT_FACTOR = 4;
/** Shortest timeout of a prefill, in milliseconds: a short prompt may wait behind unknown ones. */
const MIN_PREFILL_TIMEOUT_MS = 600;
/** Status of the answer to a prefill that an engine has run. */
const PREFILLED_STATUS = 200;
/** The share of a handle's time to live within which it is offered to another engine. */
const HANDLE_REUSE_SHARE = 0.7;

/** Dependencies of a prefiller. */
export interface PrefillParts {
  readonly context: ForwardContext;
  readonly engineLoad: EngineLoadTracker;
  readonly engineModel: EngineModel;
  readonly arrivals: Pick<Arrivals, "estimateUnseen">;
  /** Lists the engines of the request's service. */
  readonly listViews: (now: Moment) => readonly EngineView[];
}

/** What an engine made of a prefill, as far as its answer tells. */
const PrefillEnd = {
  /** It accepted the prefill, or may have: there is no answer that says otherwise. */
  accepted: "accepted",
  rejected: "rejected",
  unsent: "unsent",
} as const;
type PrefillEnd = (typeof PrefillEnd)[keyof typeof PrefillEnd];

interface PrefillResult {
  readonly end: PrefillEnd;
  /** Undefined if no engine is known to have read the prompt. */
  readonly source: CacheSource | undefined;
}

/** Has the prompt of one generation read, over all its tries. */
export class Prefiller {
  private kept: CacheSource | undefined;
  private prefilledAt: Moment = 0;
  /** True once an engine may have accepted a prefill; each further one is a retry. */
  private hasPrefilled = false;

  constructor(
    private readonly parts: PrefillParts,
    private readonly request: ForwardRequest,
    private readonly limits: EngineLimits,
    private readonly times: RequestTimes,
    private readonly sendBudget: SendBudget,
  ) {}

  /**
   * Has the prompt read, or returns the kept source of an earlier try; returns undefined if no
   * prefill engine read the prompt, so that the decode engine must.
   */
  async prefill(
    deadlineSignal: DeadlineSignal,
    decodeEngine: EndpointEntry,
  ): Promise<CacheSource | undefined> {
    const kept = this.takeKeptSource();
    if (kept !== undefined) return kept;
    const { context, engineLoad, engineModel, arrivals, listViews } = this.parts;
    const now = context.clock.now();
    const promptTokens = this.request.head.size?.promptTokens ?? 0;
    const tokensPerMs = engineModel.readTokensPerMs(this.request.service, now);
    const leftMs = this.times.softDeadline - now;
    const unseen = arrivals.estimateUnseen(promptTokens, now);
    const prompt = { promptTokens, tokensPerMs, leftMs, unseen };
    const views = listViews(now);
    const view = choosePrefill(views, new Set([decodeEngine.id]), prompt);
    if (view === undefined) return undefined;
    if (this.hasPrefilled && !this.sendBudget.tryConsume()) return undefined;
    const { id } = view.endpoint;
    context.logger.info("prefill", {
      request: this.request.head.id,
      engine: id,
      promptTokens,
      tokensAhead: view.promptTokens,
      tokensPerMs: Math.round(tokensPerMs * 10) / 10,
    });
    const tokensAhead = view.promptTokens;
    const prefills = views.filter(({ endpoint }) => endpoint.stage === EngineStage.prefill);
    const slowdown = Math.max(1, computeSlowdown(view, prefills));
    const expectedMs = computePrefillMs(promptTokens, tokensAhead, tokensPerMs / slowdown);
    engineLoad.addLocalWork(id, 0, promptTokens, 1);
    const result = this.prefillAt(view.endpoint, deadlineSignal, expectedMs).finally(() => {
      engineLoad.addLocalWork(id, 0, -promptTokens, -1);
    });
    const { end, source } = await result;
    if (source !== undefined) {
      const kind = createWorkKind(EngineStage.prefill, this.request.service);
      const sample = { ms: this.prefilledAt - now, units: promptTokens + tokensAhead };
      context.health.recordWork(kind, id, sample, this.prefilledAt);
    }
    if (source !== undefined && tokensAhead === 0) {
      engineModel.recordPrefill(this.request.service, promptTokens, this.prefilledAt - now);
    }
    if (end === PrefillEnd.rejected && !this.hasPrefilled) this.sendBudget.consume();
    this.hasPrefilled = this.hasPrefilled || end === PrefillEnd.accepted;
    return source;
  }

  /**
   * Drops a cache source whose process is gone: at the next one, its handle may name the prompt of
   * another request. Also one in an evacuated data centre, from which no engine may fetch it. The
   * decode engine reads the prompt instead.
   */
  dropGone(source: CacheSource | undefined): CacheSource | undefined {
    if (source === undefined) return undefined;
    const { directory, gate } = this.parts.context;
    const isOpen = !gate.isEvacuated(source.endpoint.id);
    if (isOpen && directory.canUseMemory(source.endpoint)) return source;
    this.release(source);
    return undefined;
  }

  /** Keeps a cache source that no decode engine has used, for the next try. */
  keep(source: CacheSource | undefined): void {
    this.kept = source;
  }

  /**
   * Releases a cache source; otherwise its engine's memory stays in use until the handle expires.
   */
  release(source: CacheSource | undefined): void {
    if (source === undefined) return;
    const { releaser, codec } = this.parts.context;
    const { endpoint, handle, expiresAt } = source;
    const call = codec.createReleaseHandleCall(endpoint, handle);
    releaser.release({ target: endpoint, call, expiresAt, permits: 1 });
  }

  /** Releases the kept cache source. */
  close(): void {
    this.release(this.kept);
    this.kept = undefined;
  }

  private takeKeptSource(): CacheSource | undefined {
    const kept = this.dropGone(this.kept);
    this.kept = undefined;
    if (kept === undefined) return undefined;
    const deadline = this.prefilledAt + this.limits.handleTtlMs * HANDLE_REUSE_SHARE;
    if (this.parts.context.clock.now() < deadline) return kept;
    this.release(kept);
    return undefined;
  }

  private async prefillAt(
    endpoint: EndpointEntry,
    deadlineSignal: DeadlineSignal,
    expectedMs: number,
  ): Promise<PrefillResult> {
    const { context, engineLoad } = this.parts;
    const { clock, client, codec, meter, logger } = context;
    const startedAt = clock.now();
    const prefillSignal = new DeadlineSignal(
      clock,
      startedAt + Math.max(MIN_PREFILL_TIMEOUT_MS, expectedMs * PREFILL_TIMEOUT_FACTOR),
      deadlineSignal.signal,
    );
    const send = {
      request: this.request,
      endpoint,
      task: SendTask.prefill,
      leftMs: computeRemainingMs(this.times.deadline, startedAt),
      cacheSource: undefined,
      hold: undefined,
      lastEventId: undefined,
      urgency: undefined,
      needsNewConnection: false,
    };
    const opened = await client.send(send, prefillSignal.signal);
    const body = E.isRight(opened) ? await readWholeBody(opened.right) : opened;
    prefillSignal.close();
    const isPrefilled =
      E.isRight(opened) && opened.right.head.status === PREFILLED_STATUS && E.isRight(body);
    const prefilled = isPrefilled ? codec.readPrefilledPrompt(body.right) : undefined;
    if (prefilled !== undefined) {
      this.prefilledAt = clock.now();
      meter.recordPrefill(this.request.service, this.prefilledAt - startedAt);
      engineLoad.markAvailable(endpoint.id);
      const expiresAt = this.prefilledAt + this.limits.handleTtlMs;
      const source = { endpoint, handle: prefilled.handle, expiresAt };
      return { end: PrefillEnd.accepted, source };
    }
    const isEngineSound = E.isLeft(opened) && (opened.left.isLocal || opened.left.isForeign);
    if (deadlineSignal.cause === undefined && !isEngineSound)
      engineLoad.markUnavailable(endpoint.id, clock.now());
    if (E.isLeft(body) && !isEngineSound) resetDataCentreConnections(context, endpoint);
    logger.warn("prefill failed", {
      request: this.request.head.id,
      engine: endpoint.id,
      status: E.isRight(opened) ? opened.right.head.status : 0,
      error: E.isLeft(body) ? body.left.message : "",
    });
    return { end: classifyEnd(opened), source: undefined };
  }
}

function classifyEnd(opened: E.Either<SendFailure, OpenResponse>): PrefillEnd {
  const isUnsent = E.isLeft(opened) && findNotRunEvidence(opened) !== undefined;
  if (E.isLeft(opened)) return isUnsent ? PrefillEnd.unsent : PrefillEnd.accepted;
  return opened.right.head.status === PREFILLED_STATUS ? PrefillEnd.accepted : PrefillEnd.rejected;
}
