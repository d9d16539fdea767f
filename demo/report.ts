/**
 * Report of the demonstration: tables of what callers and stand-ins recorded, and a check of the guarantees.
 */
import type { HistoryEvent } from "../test/standin/http";
import type { WorkspaceKeys, SentRequest } from "./main";

interface CallerRow {
  readonly workspace: string;
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Streams that ended early; only those of the killed instance may. */
  readonly cut: number;
  readonly noAnswer: number;
}

/** Prints one table of callers for each kind of request, and one of the stand-ins. */
export function printTables(
  sent: readonly SentRequest[],
  history: readonly HistoryEvent[],
  holds: readonly string[],
): void {
  console.log("what the callers saw");
  for (const kind of ["draft", "issue"] as const) {
    const rows = [...new Set(sent.map((item) => item.workspace))].map((workspace) =>
      countRow(
        workspace,
        sent.filter((item) => item.kind === kind && item.workspace === workspace),
      ),
    );
    console.log(kind === "draft" ? "drafting requests" : "job-sheet issues");
    console.table(rows);
  }
  console.log("what the stand-ins saw");
  console.table(
    [...new Set(history.map((event) => event.who))].sort().map((who) => {
      const seen = history.filter((event) => event.who === who);
      const count = (kind: string) => seen.filter((event) => event.kind === kind).length;
      return {
        who,
        prefills: count("prefill"),
        decodes: seen.filter((event) => event.kind === "decode" && event.from === 0).length,
        resumed: seen.filter((event) => event.kind === "decode" && event.from !== 0).length,
        wasted: count("wasted"),
        runs: count("run"),
        doubled: countDuplicateRuns(seen),
        keysSeen: count("leak"),
        holdsLeft: holds.length,
      };
    }),
  );
}

/** Returns a message for each guarantee that did not hold. */
export function checkPromises(
  sent: readonly SentRequest[],
  history: readonly HistoryEvent[],
  holds: readonly string[],
  keys: WorkspaceKeys,
): readonly string[] {
  const violations: string[] = [];
  const drafts = sent.filter((item) => item.kind === "draft");
  const truncated = drafts.filter((item) => isTruncated(item) && item.at !== "nizwa-2");
  if (truncated.length > 0)
    violations.push(`${truncated.length} drafts were cut or not the caller's own`);
  if (!drafts.some((item) => item.seen.isWhole)) violations.push("no draft was answered");
  const unanswered = listUnansweredDrafts(drafts);
  if (unanswered.length > 0)
    violations.push(
      `${unanswered.length} drafts got no whole answer: ${unanswered.slice(0, 5).join(", ")}`,
    );
  if (countDuplicateRuns(history) > 0)
    violations.push(`${countDuplicateRuns(history)} issues ran twice`);
  violations.push(...findIssueViolations(sent, history));
  if (holds.length > 0) violations.push(`engine memory is still held: ${holds.join(", ")}`);
  if (history.some((event) => event.kind === "leak")) violations.push("an endpoint saw a key");
  if (!hasWithdrawnKeyRefusal(sent)) violations.push("the withdrawn key was never refused");
  if (Object.keys(keys).length !== 4) violations.push("not all keys were made");
  return violations;
}

/**
 * Lists drafts without a complete answer. A draft within its rate is answered by its second attempt at the latest; one
 * refused for its key does not count.
 */
function listUnansweredDrafts(drafts: readonly SentRequest[]): readonly string[] {
  const answered = new Set(
    drafts
      .filter((item) => item.seen.isWhole || item.seen.reason.startsWith("key_"))
      .map((item) => item.name),
  );
  return [...new Set(drafts.map((item) => item.name))].filter((name) => !answered.has(name));
}

function findIssueViolations(
  sent: readonly SentRequest[],
  history: readonly HistoryEvent[],
): readonly string[] {
  const violations: string[] = [];
  const ran = new Set(history.filter((event) => event.kind === "run").map((event) => event.issue));
  for (const name of new Set(
    sent.filter((item) => item.kind === "issue").map((item) => item.name),
  )) {
    const seen = sent.filter((item) => item.name === name).map((item) => item.seen);
    const isAnswered = seen.some((answer) => answer.status === 200);
    if (isAnswered && !ran.has(name)) violations.push(`${name} was answered and did not run`);
    const allNotRun = seen.every((answer) => answer.outcome === "not run");
    if (allNotRun && ran.has(name))
      violations.push(`${name} ran, and all were told that it did not`);
  }
  return violations;
}

function isTruncated(item: SentRequest): boolean {
  return item.kind === "draft" && item.seen.status === 200 && !item.seen.isWhole;
}

function hasWithdrawnKeyRefusal(sent: readonly SentRequest[]): boolean {
  return sent.some(
    (item) => item.seen.reason === "key_withdrawn" && item.seen.outcome === "not run",
  );
}

function countDuplicateRuns(history: readonly HistoryEvent[]): number {
  const runs = history.filter((event) => event.kind === "run");
  return runs.length - new Set(runs.map((event) => event.issue)).size;
}

function countRow(workspace: string, sent: readonly SentRequest[]): CallerRow {
  const count = (matches: (item: SentRequest) => boolean) => sent.filter(matches).length;
  return {
    workspace,
    requests: sent.length,
    answered: count((item) =>
      item.kind === "draft" ? item.seen.isWhole : item.seen.status === 200,
    ),
    notRun: count((item) => item.seen.outcome === "not run"),
    unknown: count((item) => item.seen.outcome === "unknown"),
    cut: count((item) => isTruncated(item)),
    noAnswer: count((item) => item.seen.outcome === "none"),
  };
}
