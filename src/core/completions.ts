/**
 * Remembers when requests and prompt parts last ran to completion, here or at a peer. A completed
 * run proves that neither the request nor any part of its prompt crashes engines, as far as crashes
 * before it show.
 */
import type { Moment } from "./clock";
import { type Subject, SubjectKind } from "./crashes/suspects";

/** Number of subjects of each kind whose completions are remembered. */
const MAX_SUBJECTS = 10_000;

/** A completed run as an instance tells it to its peers. */
export interface CompletionReport {
  readonly subject: Subject;
  /** Time since the run completed, in milliseconds. */
  readonly ageMs: number;
}

interface Completion {
  readonly lastAt: Moment;
  /** When a run of this instance last completed; undefined if none did. */
  readonly ownAt: Moment | undefined;
}

/** Last completions; the subject that completed longest ago is forgotten first. */
export class CompletionMemory {
  private readonly completions = {
    [SubjectKind.request]: new Map<string, Completion>(),
    [SubjectKind.part]: new Map<string, Completion>(),
  };

  /** Records a completed run of this instance. */
  record(subject: Subject, at: Moment): void {
    this.set(subject, { lastAt: at, ownAt: at });
  }

  /**
   * Merges what a peer tells; returns whether it is later than what was known. It is not told to
   * other peers: its age would grow less than time passes with each instance that passes it on.
   */
  merge({ subject, ageMs }: CompletionReport, now: Moment): boolean {
    const at = now - ageMs;
    const before = this.completions[subject.kind].get(subject.name);
    if (before !== undefined && before.lastAt >= at) return false;
    this.set(subject, { lastAt: at, ownAt: before?.ownAt });
    return true;
  }

  /** Reads when a subject last completed; undefined if it is not known to have. */
  read({ kind, name }: Subject): Moment | undefined {
    return this.completions[kind].get(name)?.lastAt;
  }

  /** Reads when a run of this instance last completed. */
  readOwn({ kind, name }: Subject): Moment | undefined {
    return this.completions[kind].get(name)?.ownAt;
  }

  private set({ kind, name }: Subject, completion: Completion): void {
    const completions = this.completions[kind];
    completions.delete(name);
    completions.set(name, completion);
    const [oldest] = completions.keys();
    if (completions.size > MAX_SUBJECTS && oldest !== undefined) completions.delete(oldest);
  }
}
