/**
 * Refusals and failures of a span of time, counted by cause.
 */
import { type LogLine, readText } from "./line";

/** What a request ended with. */
export const Ending = {
  refused: "refused",
  failed: "failed",
  cancelled: "cancelled",
} as const;
export type Ending = (typeof Ending)[keyof typeof Ending];

/** Requests that ended alike, for the same cause. */
export interface CauseCount {
  readonly ending: Ending;
  readonly status: string;
  /** The reason that the caller was given. */
  readonly reason: string;
  /** What the last step before it said; numbers and names of endpoints are left out. */
  readonly cause: string;
  readonly count: number;
  /** One of the requests. */
  readonly example: string;
  /** Instances that ended them. */
  readonly instances: number;
}

/** Counts causes, line by line, so that logs of any length can be read. */
export class CauseCounter {
  /** By request: the last line that explains what went wrong before its end. */
  private readonly warnings = new Map<string, LogLine>();
  private readonly groups = new Map<string, Group>();

  /**
   * @param from - the first moment that counts, in milliseconds of the wall clock
   * @param to - the moment up to which lines count
   */
  constructor(
    private readonly from: number = Number.NEGATIVE_INFINITY,
    private readonly to: number = Number.POSITIVE_INFINITY,
  ) {}

  /** Takes a line. */
  add(line: LogLine): void {
    if (line.request === undefined || line.at < this.from || line.at >= this.to) return;
    const ending = nameEnding(line);
    if (ending !== undefined) this.count(line, ending, line.request);
    else if (line.event === "answered") this.warnings.delete(line.request);
    else if (line.isWarning) this.warnings.set(line.request, line);
  }

  /** Lists the causes, the most frequent first. */
  list(): readonly CauseCount[] {
    return [...this.groups.values()]
      .map(({ instances, ...group }) => ({ ...group, instances: instances.size }))
      .sort((a, b) => b.count - a.count);
  }

  private count(line: LogLine, ending: Ending, request: string): void {
    const before = this.warnings.get(request);
    this.warnings.delete(request);
    const status = readText(line, "status");
    const reason = readText(line, "reason") || readText(line, "outcome");
    const cause = describeCause(line, before);
    const key = [ending, status, reason, cause].join("\n");
    const group = this.groups.get(key) ?? {
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
    this.groups.set(key, group);
  }
}

interface Group extends Omit<CauseCount, "count" | "instances"> {
  count: number;
  readonly instances: Set<string>;
}

function nameEnding(line: LogLine): Ending | undefined {
  if (line.event === "cancelled") return Ending.cancelled;
  if (line.event === "answered" && line.isWarning) return Ending.failed;
  if (line.event !== "refused" && line.event !== "refusal") return undefined;
  const ran = readText(line, "ran") || readText(line, "outcome");
  return ran === "not run" ? Ending.refused : Ending.failed;
}

function describeCause(line: LogLine, before: LogLine | undefined): string {
  if (before === undefined) return generalise(readText(line, "message"));
  const said = ["end", "message", "error"].map((name) => readText(before, name));
  const words = [before.event, ...new Set(said.filter((text) => text !== ""))];
  return generalise(words.join(": "));
}

/** Leaves out what differs between requests with the same cause. */
function generalise(text: string): string {
  return text
    .replaceAll(/\d+\.\d+\.\d+\.\d+(:\d+)?/g, "ADDRESS")
    .replaceAll(/(?<=answered )\d+/g, (status) => status)
    .replaceAll(/(?<!answered )\b\d+\b/g, "N");
}
