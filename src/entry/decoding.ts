/**
 * Streams the tokens of one attempt from its decode engine. Takes up the hold again over a new
 * connection where the connection breaks or is silent, as long as the granted process still runs.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs } from "../core/clock";
import { Metric } from "../core/metrics";
import { CALL_TIMEOUT_MS, type EngineReport } from "../endpoint/engine";
import { EngineError, EngineFault } from "../endpoint/fault";
import { SilenceWatch } from "../core/silence";
import type { Grant } from "../peer/gen/peer";
import type { AttemptError, AttemptRequest, KvSource, Progress } from "./attempt";
import { callPatiently, createCancelledError, createSilentError } from "./enginecall";
import { KeptStream } from "./keptstream";
import type { AttemptFinder } from "./replacement";
import type { RunnerParts } from "./runnerparts";

/** How often one hold is resumed over a new connection. */
const MAX_RECONNECTS = 3;
/** An engine sends a token, or else a heartbeat, at least every few hundred milliseconds. */
const SILENCE_TIMEOUT_MS = 1500;
/** The first byte may have to wait for the transfer of the KV cache. */
const FIRST_BYTE_TIMEOUT_MS = 5000;

/** Faults after which the same hold may be resumed over a new connection. */
const RECONNECT_FAULTS: ReadonlySet<EngineFault> = new Set([
  EngineFault.broken,
  EngineFault.mismatch,
]);

/** What takes the place of a silent stream. */
const Successor = {
  /** A new connection to the same process, which has answered a call. */
  connection: "connection",
  /** An attempt that the finder has prepared. */
  attempt: "attempt",
  /** Nothing: the process that streamed no longer exists. */
  none: "none",
} as const;
type Successor = (typeof Successor)[keyof typeof Successor];

/** How a stream over one connection ended. */
interface StreamEnd {
  readonly error: AttemptError;
  /** Set where the stream was given up for its silence. */
  readonly successor?: Successor | undefined;
}

/** The tokens of one attempt. */
export class Decoding {
  private reconnectCount = 0;
  /** The first stream, where it was begun before the run. */
  private begun: KeptStream | undefined;

  constructor(
    private readonly parts: RunnerParts,
    private readonly request: AttemptRequest,
    private readonly grant: Grant,
    private readonly progress: Progress,
    private readonly url: string,
    private readonly finder: AttemptFinder,
  ) {}

  /** Opens the first stream, and keeps what comes until the run. */
  begin(source: KvSource): KeptStream {
    this.begun = this.open(source);
    return this.begun;
  }

  /** Streams to the last token, or to the error that ends the attempt. */
  async run(source: KvSource): Promise<AttemptError> {
    let next = await this.checkResumption(await this.streamOnce(source));
    while (E.isRight(next)) {
      this.reconnectCount += 1;
      this.parts.metrics.count(Metric.resumed, 1, { by: "connection" });
      next = await this.checkResumption(await this.streamOnce(undefined));
    }
    return next.left;
  }

  /** Checks whether the hold can be resumed; otherwise returns the end of the attempt. */
  private async checkResumption(end: StreamEnd): Promise<E.Either<AttemptError, undefined>> {
    const { error, successor } = end;
    const isResumable = E.right(undefined);
    if (error === undefined || this.request.signal.aborted) return E.left(error);
    if (successor !== undefined)
      return successor === Successor.connection ? isResumable : E.left(error);
    // Another attempt has consumed its retry and streams already.
    if (this.finder.isReady) return E.left(error);
    if (!RECONNECT_FAULTS.has(error.fault) || !this.canReconnect()) return E.left(error);
    const report = await this.fetchReport();
    if (E.isLeft(report) && report.left.fault === EngineFault.silent) return report;
    const canResume = E.isRight(report) && this.isGrantedProcess(report.right);
    return canResume ? isResumable : E.left(error);
  }

  private canReconnect(): boolean {
    return this.reconnectCount < MAX_RECONNECTS;
  }

  private isGrantedProcess(report: EngineReport): boolean {
    return formatProcess(this.grant.decode, report) === this.grant.decodeProcess;
  }

  /** Fetches a report after the connection broke; the engine may stand still meanwhile. */
  private fetchReport(): Promise<E.Either<EngineError, EngineReport>> {
    const { clock, logger, engines } = this.parts;
    const { deadline, signal } = this.request;
    return callPatiently({
      clock,
      logger,
      engine: this.grant.decode,
      timeoutMs: CALL_TIMEOUT_MS,
      finder: this.finder,
      signal,
      start: (ended) => {
        const timeoutMs = computeRemainingMs(deadline, clock.now()) + CALL_TIMEOUT_MS;
        return engines.fetchReport(this.url, { timeoutMs, signal: ended })();
      },
    });
  }

  private streamOnce(source: KvSource | undefined): Promise<StreamEnd> {
    const { signal } = this.request;
    return new Promise((resolve) => {
      const stream = this.begun ?? this.open(source);
      this.begun = undefined;
      let successor: Successor | undefined = undefined;
      const watch = this.createWatch((found) => (successor = found));
      const finish = (error: AttemptError) => {
        signal.removeEventListener("abort", onAbort);
        watch.close();
        stream.close();
        resolve({ error, successor: watch.signal.aborted ? successor : undefined });
      };
      const onAbort = () => {
        finish(createCancelledError());
      };
      signal.addEventListener("abort", onAbort, { once: true });
      watch.signal.addEventListener("abort", () => {
        finish(createSilentError());
      });
      stream.subscribe({
        onBytes: () => {
          watch.onProgress(SILENCE_TIMEOUT_MS);
        },
        onToken: (index, text) => {
          this.handleToken(index, text, finish);
        },
        onEnd: finish,
      });
    });
  }

  private open(source: KvSource | undefined): KeptStream {
    const request = this.createDecodeRequest(source);
    return new KeptStream((listener) => this.parts.engines.decode(this.url, request, listener));
  }

  private createDecodeRequest(source: KvSource | undefined) {
    const { completion, priorityClass } = this.request;
    return {
      attempt: this.grant.id,
      hold: this.grant.id,
      model: completion.model,
      ...(source === undefined ? {} : { import: source }),
      from: this.progress.texts.length,
      maxTokens: completion.maxTokens,
      priority: priorityClass.weight,
    };
  }

  private createWatch(onFound: (successor: Successor) => void): SilenceWatch {
    return new SilenceWatch({
      clock: this.parts.clock,
      logger: this.parts.logger,
      timeoutMs: FIRST_BYTE_TIMEOUT_MS,
      finder: {
        find: async (_overdueMs, signal) => {
          const successor = await this.findSuccessor(signal);
          if (successor !== undefined) onFound(successor);
          return successor !== undefined;
        },
      },
      onSilent: () => {
        this.logSilence();
      },
      onResumed: () => {
        this.finder.close();
      },
    });
  }

  /** Finds what may take the place of the stream; undefined if it is to be waited for. */
  private async findSuccessor(signal: AbortSignal): Promise<Successor | undefined> {
    const report = await this.parts.engines.fetchReport(this.url)();
    if (signal.aborted) return undefined;
    const isAnswered = E.isRight(report);
    const isGone = isAnswered
      ? !this.isGrantedProcess(report.right)
      : report.left.fault === EngineFault.down;
    if (isGone) return Successor.none;
    if (isAnswered && this.canReconnect()) return Successor.connection;
    // An engine that answers calls, but never went on over a new connection, may start anew.
    const excluded = isAnswered ? undefined : this.grant.decode;
    return (await this.finder.find(excluded, signal)) ? Successor.attempt : undefined;
  }

  /** Ignores a token that was received before; a token that leaves a gap ends the stream. */
  private handleToken(index: number, text: string, finish: (error: AttemptError) => void): void {
    const { texts } = this.progress;
    if (index < texts.length) return;
    if (index > texts.length) {
      const message = `token ${index} came after ${texts.length - 1}`;
      finish(new EngineError(EngineFault.mismatch, message));
      return;
    }
    texts.push(text);
    this.request.onToken(text);
  }

  private logSilence(): void {
    this.parts.logger.info("silent", {
      request: this.request.requestId,
      attempt: this.grant.id,
      endpoint: this.grant.decode,
      tokens: this.progress.texts.length,
    });
  }
}

/**
 * Names the process of an engine, as grants do.
 *
 * @example
 * formatProcess("engine-1", { incarnation: "i1" }); // "engine-1@i1"
 */
export function formatProcess(engine: string, report: { readonly incarnation: string }): string {
  return `${engine}@${report.incarnation}`;
}
