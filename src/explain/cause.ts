/**
 * Counts refused, failed and cancelled requests of a time range by cause, from log lines.
 */
import { ExecutionStatus } from "../core/outcome";
import { type LogLine, formatField } from "./line";

/** How a request that got no complete response ended. */
export const Ending = {
  refused: "refused",
  failed: "failed",
  cancelled: "cancelled",
} as const;
export type Ending = (typeof Ending)[keyof typeof Ending];

/** Requests with the same ending, status, reason and cause. */
export interface CauseCount {
  readonly ending: Ending;
  readonly status: string;
  /** The reason in the response to the caller. */
  readonly reason: string;
  /**
   * Event and texts of the last warning before the end, or else the message of the end itself; numbers and addresses
   * are replaced by placeholders.
   */
  readonly cause: string;
  readonly count: number;
  /** Identifier of the first of the requests. */
  readonly example: string;
  /** Number of instances that logged the end of these requests. */
  readonly instances: number;
}

/** Counts causes line by line, so that logs of any length can be read without holding all of them in memory. */
export class CauseCounter {
  /** The last warning of each request that has not ended yet, by request identifier; it gives the cause if the request fails. */
  private readonly lastWarnings = new Map<string, LogLine>();
  private readonly groups = new Map<string, CauseGroup>();

  /**
   * @param fromMs - start of the time range, inclusive, in milliseconds since the epoch, by the instances' wall clocks
   * @param toMs - end of the time range, exclusive, in the same unit
   */
  constructor(
    private readonly fromMs: number = Number.NEGATIVE_INFINITY,
    private readonly toMs: number = Number.POSITIVE_INFINITY,
  ) {}

  /** Adds a log line; the lines of one request must be added in the order in which they were written. */
  add(line: LogLine): void {
    if (line.request === undefined || line.at < this.fromMs || line.at >= this.toMs) return;
    const ending = classifyEnding(line);
    if (ending !== undefined) this.countEnding(line, ending, line.request);
    else if (line.event === "answered") this.lastWarnings.delete(line.request);
    else if (line.isWarning) this.lastWarnings.set(line.request, line);
  }

  /** Lists the causes, the most frequent first. */
  list(): readonly CauseCount[] {
    return [...this.groups.values()]
      .map(({ instances, ...group }) => ({ ...group, instances: instances.size }))
      .sort((a, b) => b.count - a.count);
  }

  private countEnding(line: LogLine, ending: Ending, request: string): void {
    const warning = this.lastWarnings.get(request);
    this.lastWarnings.delete(request);
    const status = formatField(line, "status");
    const reason = formatField(line, "reason") || formatField(line, "outcome");
    const cause = describeCause(line, warning);
    const groupKey = [ending, status, reason, cause].join("\n");
    const group = this.groups.get(groupKey) ?? {
      ending,
      status,
      reason,
      cause,
      count: 0,
      example: request,
      instances: new Set<string>(),
    };
    group.count += 1;
    group.instances.add(line.instance);
    this.groups.set(groupKey, group);
  }
}

interface CauseGroup extends Omit<CauseCount, "count" | "instances"> {
  count: number;
  readonly instances: Set<string>;
}

function classifyEnding(line: LogLine): Ending | undefined {
  if (line.event === "cancelled") return Ending.cancelled;
  if (line.event === "answered" && line.isWarning) return Ending.failed;
  if (line.event !== "refused" && line.event !== "refusal") return undefined;
  const executionStatus = formatField(line, "ran") || formatField(line, "outcome");
  return executionStatus === ExecutionStatus.notRun ? Ending.refused : Ending.failed;
}

function describeCause(line: LogLine, warning: LogLine | undefined): string {
  if (warning === undefined) return normaliseCause(formatField(line, "message"));
  const details = ["end", "message", "error"].map((name) => formatField(warning, name));
  const texts = [warning.event, ...new Set(details.filter((text) => text !== ""))];
  return normaliseCause(texts.join(": "));
}

/** Replaces addresses and numbers, which differ between requests with the same cause, but keeps status codes. */
function normaliseCause(text: string): string {
  return text
    .replaceAll(/\d+\.\d+\.\d+\.\d+(:\d+)?/g, "ADDRESS")
    .replaceAll(/(?<=answered )\d+/g, (status) => status)
    .replaceAll(/(?<!answered )\b\d+\b/g, "N");
}
