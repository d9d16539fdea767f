/**
 * Has the prompt of a generation read at a prefill engine, and sees to what was read until a decode
 * engine takes it.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../core/clock";
import type { EngineLimits } from "../fleet/config";
import type { EndpointEntry } from "../fleet/directory";
import { DeadlineSignal } from "./abort";
import { type ForwardContext, type RequestTimes, resetBeside } from "./context";
import { choosePrefill, type EngineLoadTracker, type EngineView } from "./engines";
import { type CacheSource, type ForwardRequest, SendTask } from "./messages";
import { readBody } from "./service";
import type { SendBudget } from "./sendbudget";

/** How long a prefill may take, in milliseconds; some prompts may be before it. */
const PREFILL_MS = 900;
/** The share of the time that a read prompt is kept in which it is offered to another engine. */
const KEEP_SHARE = 0.7;
const RELEASE_CALL_MS = 500;

/** What a prefiller works with. */
export interface PrefillParts {
  readonly context: ForwardContext;
  readonly engineLoad: EngineLoadTracker;
  /** Lists the engines of the request's service. */
  readonly listViews: (now: Moment) => readonly EngineView[];
}

/** The prompt of one generation. */
export class Prefiller {
  private kept: CacheSource | undefined;
  private readAt: Moment = 0;
  private hasRead = false;

  constructor(
    private readonly parts: PrefillParts,
    private readonly request: ForwardRequest,
    private readonly limits: EngineLimits,
    private readonly times: RequestTimes,
    private readonly sends: SendBudget,
  ) {}

  /** Has the prompt read; undefined where no engine did, so that the decode engine has to. */
  async read(watch: DeadlineSignal, decode: EndpointEntry): Promise<CacheSource | undefined> {
    const kept = this.takeKept();
    if (kept !== undefined) return kept;
    const { context, engineLoad, listViews } = this.parts;
    const view = choosePrefill(listViews(context.clock.now()), new Set([decode.id]));
    if (view === undefined) return undefined;
    if (this.hasRead && !this.sends.tryConsume()) return undefined;
    const { id } = view.endpoint;
    const promptTokens = this.request.head.size?.promptTokens ?? 0;
    engineLoad.addLocalWork(id, 0, promptTokens, 1);
    context.logger.info("prefill", {
      request: this.request.head.id,
      engine: id,
      promptTokens,
      tokensAhead: view.promptTokens,
    });
    const source = await this.prefillAt(view.endpoint, watch);
    engineLoad.addLocalWork(id, 0, -promptTokens, -1);
    if (source === undefined && !this.hasRead) this.sends.consume();
    this.hasRead = this.hasRead || source !== undefined;
    return source;
  }

  /** Keeps what was read for the next try, where an engine has not taken it. */
  keep(source: CacheSource | undefined): void {
    this.kept = source;
  }

  /** Frees what was read: else it would hold its memory until it lapses. */
  release(source: CacheSource | undefined): void {
    if (source === undefined) return;
    const { client, codec, logger } = this.parts.context;
    const call = codec.createReleaseHandleCall(source.handle);
    void client.call(source.address, call, RELEASE_CALL_MS).then((answer) => {
      if (E.isRight(answer)) return;
      logger.warn("prompt not released", { ...source, error: answer.left.message });
    });
  }

  /** Frees what is still kept. */
  close(): void {
    this.release(this.kept);
    this.kept = undefined;
  }

  private takeKept(): CacheSource | undefined {
    const { kept } = this;
    this.kept = undefined;
    if (kept === undefined) return undefined;
    const deadline = this.readAt + this.limits.handleTtlMs * KEEP_SHARE;
    if (this.parts.context.clock.now() < deadline) return kept;
    this.release(kept);
    return undefined;
  }

  private async prefillAt(
    endpoint: EndpointEntry,
    watch: DeadlineSignal,
  ): Promise<CacheSource | undefined> {
    const { context, engineLoad } = this.parts;
    const { clock, client, codec, meter, logger } = context;
    const startedAt = clock.now();
    const timeout = new DeadlineSignal(clock, startedAt + PREFILL_MS, watch.signal);
    const send = {
      request: this.request,
      endpoint,
      task: SendTask.prefill,
      leftMs: computeRemainingMs(this.times.deadline, startedAt),
      cacheSource: undefined,
      hold: undefined,
      lastEventId: undefined,
      urgency: undefined,
    };
    const opened = await client.send(send, timeout.signal);
    const body = E.isRight(opened) ? await readBody(opened.right.body) : opened;
    timeout.close();
    const isRead = E.isRight(opened) && opened.right.head.status === 200 && E.isRight(body);
    const prefilled = isRead ? codec.readPrefilledPrompt(body.right) : undefined;
    if (prefilled !== undefined) {
      this.readAt = clock.now();
      meter.recordPrefill(this.request.service, this.readAt - startedAt);
      engineLoad.markAvailable(endpoint.id);
      return { address: endpoint.address, handle: prefilled.handle };
    }
    if (watch.cause === undefined) engineLoad.markUnavailable(endpoint.id, clock.now());
    if (E.isLeft(body)) resetBeside(context, endpoint);
    logger.warn("prefill failed", {
      request: this.request.head.id,
      engine: endpoint.id,
      status: E.isRight(opened) ? opened.right.head.status : 0,
      error: E.isLeft(body) ? body.left.message : "",
    });
    return undefined;
  }
}
