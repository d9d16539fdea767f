/**
 * Requests grants of engines for one completion, from each pool of its model in turn.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs } from "../core/clock";
import { Reason } from "../core/outcome";
import { listPoolsForModel } from "../core/pools";
import type { Grant, Refusal, Want } from "../peer/gen/peer";
import type { Progress } from "./attempt";
import type { RunRequest } from "./runner";
import type { RunnerParts } from "./runnerparts";

/** What is known about engines from the attempts before. */
export interface EngineHistory {
  /** Names of the engines that may not serve the completion. */
  readonly excluded: readonly string[];
  /** Processes that crashed while they ran the completion. */
  readonly crashes: readonly string[];
}

/** The answer to a request for a grant: the refusal is undefined where the model has no pool. */
export type GrantReply = E.Either<Refusal | undefined, Grant>;

/** Requests grants for one completion. */
export class GrantRequester {
  constructor(
    private readonly parts: RunnerParts,
    private readonly request: RunRequest,
    private readonly progress: Progress,
  ) {}

  /**
   * Requests a grant from each pool of the model in turn, until one grants it or refuses it for a
   * reason other than having no endpoint.
   *
   * @returns undefined if the signal was aborted before the reply
   */
  async requestGrant(history: EngineHistory, signal: AbortSignal): Promise<GrantReply | undefined> {
    const { board, dataCentre } = this.parts;
    const { configuration } = board.config.read();
    const pools = listPoolsForModel(configuration, this.request.completion.model, dataCentre);
    let lastRefusal: Refusal | undefined;
    for (const pool of pools) {
      const reply = await this.waitForGrant(this.createWant(pool.name, history), signal);
      if (reply === undefined || E.isRight(reply)) return reply;
      lastRefusal = reply.left;
      if (lastRefusal.reason !== Reason.noEndpoint) break;
    }
    return E.left(lastRefusal);
  }

  private async waitForGrant(
    want: Want,
    signal: AbortSignal,
  ): Promise<E.Either<Refusal, Grant> | undefined> {
    const { schedulerClient } = this.parts;
    if (signal.aborted) return undefined;
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        schedulerClient.cancel(want.id);
        resolve(undefined);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      void schedulerClient.requestGrant(want).then((reply) => {
        signal.removeEventListener("abort", onAbort);
        resolve(reply);
      }, reject);
    });
  }

  private createWant(pool: string, history: EngineHistory): Want {
    const { request, parts, progress } = this;
    const { completion, priorityClass, arrivedAt } = request;
    const now = parts.clock.now();
    const sentTokens = progress.texts.length;
    const isResumed = sentTokens > 0;
    const remainingMs = computeRemainingMs(request.deadline, now);
    const targetMs = computeRemainingMs(arrivedAt + priorityClass.firstTokenMs, now);
    const patienceMs = computeRemainingMs(arrivedAt + priorityClass.patienceMs, now);
    return {
      id: parts.ids.next(),
      workspace: request.caller.workspace,
      class: priorityClass.name,
      model: completion.model,
      route: request.route,
      pool,
      promptTokens: completion.promptTokens + sentTokens,
      outputTokens: completion.maxTokens - sentTokens,
      firstTokenMs: isResumed ? remainingMs : targetMs,
      patienceMs: isResumed ? remainingMs : Math.min(remainingMs, patienceMs),
      blocks: completion.blocks.map((block) => block.hash),
      fingerprint: completion.fingerprint,
      dataCentre: parts.dataCentre,
      exclude: [...history.excluded],
      resumed: isResumed,
      crashes: [...history.crashes],
    };
  }
}
