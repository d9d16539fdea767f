/**
 * What the callers and the stand-ins saw in the demonstration, and whether the promises held.
 */
import type { HistoryEvent } from "../test/standin/http";
import type { WorkspaceKeys, SentRequest } from "./main";

interface CallerRow {
  readonly workspace: string;
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Streams that broke with the killed instance. */
  readonly cut: number;
  readonly noAnswer: number;
}

/** Prints the tables. */
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

/** Lists the promises that did not hold. */
export function checkPromises(
  sent: readonly SentRequest[],
  history: readonly HistoryEvent[],
  holds: readonly string[],
  keys: WorkspaceKeys,
): readonly string[] {
  const broken: string[] = [];
  const drafts = sent.filter((item) => item.kind === "draft");
  const cut = drafts.filter((item) => isTruncated(item) && item.at !== "nizwa-2");
  if (cut.length > 0) broken.push(`${cut.length} drafts were cut or not the caller's own`);
  if (!drafts.some((item) => item.seen.isWhole)) broken.push("no draft was answered");
  const unanswered = listUnansweredDrafts(drafts);
  if (unanswered.length > 0)
    broken.push(
      `${unanswered.length} drafts got no whole answer: ${unanswered.slice(0, 5).join(", ")}`,
    );
  if (countDuplicateRuns(history) > 0)
    broken.push(`${countDuplicateRuns(history)} issues ran twice`);
  broken.push(...findIssueViolations(sent, history));
  if (holds.length > 0) broken.push(`engine memory is still held: ${holds.join(", ")}`);
  if (history.some((event) => event.kind === "leak")) broken.push("an endpoint saw a key");
  if (!hasWithdrawnKeyRefusal(sent)) broken.push("the withdrawn key was never refused");
  if (Object.keys(keys).length !== 4) broken.push("not all keys were made");
  return broken;
}

/** A request inside its rate is answered, at the second asking at the latest; a withdrawn key is not. */
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
  const broken: string[] = [];
  const ran = new Set(history.filter((event) => event.kind === "run").map((event) => event.issue));
  for (const name of new Set(
    sent.filter((item) => item.kind === "issue").map((item) => item.name),
  )) {
    const seen = sent.filter((item) => item.name === name).map((item) => item.seen);
    const isAnswered = seen.some((answer) => answer.status === 200);
    if (isAnswered && !ran.has(name)) broken.push(`${name} was answered and did not run`);
    const allNotRun = seen.every((answer) => answer.outcome === "not run");
    if (allNotRun && ran.has(name)) broken.push(`${name} ran, and all were told that it did not`);
  }
  return broken;
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
  const count = (isIt: (item: SentRequest) => boolean) => sent.filter(isIt).length;
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
