/**
 * Keeps which first writers of streams are being asked after here, by service, for callers that take a stream up whose
 * origin nobody remembers: one that does not name it may mean any of these.
 */
import { computeRemainingMs, type Clock, type Moment } from "../../core/clock";
import { waitAtMost } from "../../core/readfirst";

/** How long such a caller waits for the answers, in milliseconds. */
const MAX_WAIT_MS = 150;

interface OpenQuestion {
  readonly asking: Promise<unknown>;
  /** When it is over at the latest. */
  readonly deadline: Moment;
  /** The request that brought the stream's first event; undefined if it is not known. */
  readonly request: string | undefined;
}

/** How a caller waits. */
export interface QuestionWait {
  /** The request that brought the first event of the stream that it takes up; undefined if it does not say. */
  readonly request?: string | undefined;
  readonly maxWaitMs?: number;
}

/** The questions after first writers that are under way at this instance. */
export class OpenQuestions {
  private readonly services = new Map<string, Set<OpenQuestion>>();

  constructor(private readonly clock: Clock) {}

  /**
   * Adds a question, which is removed at its end.
   *
   * @param asking - resolves once what was answered is recorded
   * @param deadline - when it is over at the latest
   * @param request - the request that brought the stream's first event; any one if undefined
   */
  add(service: string, asking: Promise<unknown>, deadline: Moment, request?: string): void {
    const open = this.services.get(service) ?? new Set<OpenQuestion>();
    const question = { asking, deadline, request };
    this.services.set(service, open.add(question));
    void asking.finally(() => {
      open.delete(question);
      if (open.size === 0) this.services.delete(service);
    });
  }

  /**
   * Waits a moment for the questions of a service that are under way; later ones are of streams that the caller can't
   * have seen, and where it names its stream, those of others don't count.
   *
   * @returns how long one of them may still be under way, in milliseconds; zero if none is
   * @example
   * const unclearForMs = await openQuestions.wait("models", { request: head.resumedId });
   */
  async wait(
    service: string,
    { request, maxWaitMs = MAX_WAIT_MS }: QuestionWait = {},
  ): Promise<number> {
    const open = this.services.get(service);
    if (open === undefined) return 0;
    const asked = [...open].filter((question) => mayConcern(question, request));
    if (asked.length === 0) return 0;
    await waitAtMost(Promise.all(asked.map(({ asking }) => asking)), maxWaitMs);
    return computeOpenMs(
      asked.filter((question) => open.has(question)),
      this.clock.now(),
    );
  }

  /** Number of questions that are under way. */
  get size(): number {
    return [...this.services.values()].reduce((sum, open) => sum + open.size, 0);
  }
}

function mayConcern(question: OpenQuestion, request: string | undefined): boolean {
  return request === undefined || question.request === undefined || question.request === request;
}

/**
 * Computes how long questions may still be under way, in milliseconds; one that is over at any moment counts for 1.
 *
 * @example
 * computeOpenMs([{ deadline: 1200 }], 1000); // 200
 */
export function computeOpenMs(
  questions: readonly { readonly deadline: Moment }[],
  now: Moment,
): number {
  if (questions.length === 0) return 0;
  const deadline = Math.max(...questions.map((question) => question.deadline));
  return Math.max(1, Math.ceil(computeRemainingMs(deadline, now)));
}
