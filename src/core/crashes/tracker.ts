/**
 * Tracks crashes over the whole fleet, and bans the requests and the prompt parts that cause them,
 * whichever caller's attempt it was and whichever instance sent it. Crashes and completed runs are
 * exchanged with all peers, so that all come to the same bans.
 */
import { BanList, type BanReport, type PartBan } from "./bans";
import type { Moment } from "../clock";
import { CompletionMemory, type CompletionReport } from "../completions";
import { CRASH_MEMORY_MS, type Crash, CrashMemory, type CrashReport } from "./memory";
import { type Culprit, findCulprits, listUnexplained } from "./culprits";
import { groupByMoment, listOwnCrashes } from "./moments";
import { listSubjects, type Subject, SubjectKind, type Suspect } from "./suspects";

/** Number of processes that a request may crash before its copies are refused. */
const CRASHES_TO_BAN_REQUEST = 2;
/**
 * How old a crash must be to count against parts, in milliseconds: until then the reports of some
 * instances may be under way, and those that have arrived may all be of bystanders.
 */
const SETTLE_MS = 60;
/** Number of completions that peers are told at a time. */
const MAX_TOLD_COMPLETIONS = 1024;
/**
 * Age up to which completions are told, in milliseconds: those that count for crashes that are still
 * remembered.
 */
const TOLD_COMPLETION_MS = 2 * CRASH_MEMORY_MS;

/**
 * How long peers are told that a part completed which was banned, in milliseconds; again for as long
 * after a peer tells its ban.
 */
const TOLD_ACQUITTAL_MS = 10_000;
const MAX_ACQUITTALS = 256;

/** Why a request must not run. */
export interface Ban {
  /** The request itself, or the part of its prompt. */
  readonly subject: Subject;
  readonly deadline: Moment;
}

/** Why a ban of a part ended. */
export const BanEnd = {
  /** A run with the part completed. */
  completed: "completed",
  /** Peers told of completed runs before the crashes, so that these don't suffice. */
  trusted: "trusted",
  /** Its crashes are explained by other parts. */
  explained: "explained",
} as const;
export type BanEnd = (typeof BanEnd)[keyof typeof BanEnd];

/** Learns of bans of parts as they begin and end. */
export interface BanListener {
  onBan(culprit: Culprit): void;
  /** A part on probation crashed an engine again. */
  onBanAgain(part: string, strikes: number): void;
  onBanEnd(part: string, end: BanEnd): void;
}

/** What an instance tells its peers of crashes. */
export interface CrashKnowledge {
  readonly crashes: readonly CrashReport[];
  readonly completions: readonly CompletionReport[];
  readonly bans: readonly BanReport[];
}

const IGNORING_LISTENER: BanListener = {
  onBan: () => undefined,
  onBanAgain: () => undefined,
  onBanEnd: () => undefined,
};

/** Crashes, completed runs and bans, as far as this instance knows them. */
export class CrashTracker {
  private readonly memory = new CrashMemory();
  private readonly completions = new CompletionMemory();
  private readonly bans: BanList;
  /** Parts whose ban has ended: until when peers are told of their completed runs. */
  private readonly acquittals = new Map<string, Moment>();
  /** Remembered crashes that no banned part explains. */
  private unexplained: readonly Crash[] = [];
  /** When the next crash is old enough to count against parts. */
  private nextSettledAt: Moment = Infinity;

  /**
   * @param isResponsible - whether this instance, of all, may try a part whose ban has lapsed
   * @param listener - learns of bans of parts
   * @param hasPeers - whether reports of others may be under way
   */
  constructor(
    isResponsible: (part: string) => boolean = () => true,
    private readonly listener: BanListener = IGNORING_LISTENER,
    private readonly hasPeers: () => boolean = () => true,
  ) {
    this.bans = new BanList(isResponsible);
  }

  /**
   * Records a crash with suspects that this instance knows; returns whether any of it was new.
   *
   * @example
   * tracker.recordCrash({ process: "d1@7", suspects: [{ fingerprint: "f", parts: ["a"] }] }, now);
   */
  recordCrash(report: CrashReport, now: Moment): boolean {
    const isNew = this.mergeCrash(report, now);
    if (isNew) this.updateBans(now);
    return isNew;
  }

  /**
   * Records a run that completed, or went on for longer than it takes to crash an engine: it acquits
   * the request and its parts of all crashes until now.
   */
  recordCompletion(suspect: Suspect, now: Moment): void {
    let hasChanged = false;
    for (const subject of listSubjects(suspect)) {
      this.completions.record(subject, now);
      hasChanged = this.endCompletedBan(subject, now) || hasChanged;
    }
    if (hasChanged) this.updateBans(now);
  }

  /** Merges what a peer knows; neither the order nor the number of its reports matters. */
  mergeKnowledge({ crashes, completions, bans }: CrashKnowledge, now: Moment): void {
    let hasChanged = false;
    for (const report of completions) {
      if (!this.completions.merge(report, now)) continue;
      this.endCompletedBan(report.subject, now);
      hasChanged = true;
    }
    for (const report of crashes) hasChanged = this.mergeCrash(report, now) || hasChanged;
    for (const report of bans) hasChanged = this.mergeBan(report, now) || hasChanged;
    if (hasChanged) this.updateBans(now);
  }

  /**
   * Finds why a request must not run; undefined if it may.
   *
   * @example
   * tracker.findBan({ fingerprint: "f", parts: ["a"] }, now)?.subject.name; // "a"
   */
  findBan(suspect: Suspect, now: Moment): Ban | undefined {
    if (now >= this.nextSettledAt) this.updateBans(now);
    const { fingerprint, parts } = suspect;
    for (const name of parts) {
      const deadline = this.bans.readDeadline(name, fingerprint, now);
      if (deadline !== undefined) return { subject: { kind: SubjectKind.part, name }, deadline };
    }
    return this.findRequestBan(fingerprint, now);
  }

  /**
   * Checks a request just before it is sent: as `findBan`, and from now on it is the one that tries
   * those of its parts whose ban has lapsed.
   */
  beginRun(suspect: Suspect, now: Moment): Ban | undefined {
    const ban = this.findBan(suspect, now);
    if (ban === undefined) this.bans.beginTrials(suspect.parts, suspect.fingerprint, now);
    return ban;
  }

  /** Lists what peers should know. */
  listKnowledge(now: Moment): CrashKnowledge {
    const crashes = this.memory.list(now);
    return {
      crashes: crashes.map(({ process, at, suspects }) => ({
        process,
        suspects: [...suspects.values()],
        ageMs: Math.round(now - at),
      })),
      completions: this.listCompletions(crashes, now),
      bans: this.listBans(now),
    };
  }

  private mergeCrash(report: CrashReport, now: Moment): boolean {
    const { isNew, suspects } = this.memory.merge(report, now);
    const at = now - (report.ageMs ?? 0);
    for (const part of new Set(suspects.flatMap(({ parts }) => parts))) {
      if (at <= (this.readPartCompletion(part) ?? -Infinity)) continue;
      if (!this.bans.recordCrash(part, at)) continue;
      this.listener.onBanAgain(part, this.bans.find(part)?.strikes ?? 0);
    }
    return isNew;
  }

  private mergeBan(report: BanReport, now: Moment): boolean {
    const completedAt = this.readPartCompletion(report.part) ?? -Infinity;
    if (completedAt <= now - report.lastCrashAgeMs) return this.bans.merge(report, now);
    this.recordAcquittal(report.part, now);
    return false;
  }

  /** Ends the ban of a part that completed after the last crash with it. */
  private endCompletedBan({ kind, name }: Subject, now: Moment): boolean {
    const ban = kind === SubjectKind.part ? this.bans.find(name) : undefined;
    if (ban === undefined) return false;
    if ((this.readPartCompletion(name) ?? -Infinity) <= ban.lastCrashAt) return false;
    this.endBan(name, BanEnd.completed);
    this.recordAcquittal(name, now);
    return true;
  }

  private recordAcquittal(part: string, now: Moment): void {
    for (const [known, deadline] of this.acquittals) {
      if (deadline <= now || this.acquittals.size >= MAX_ACQUITTALS) this.acquittals.delete(known);
    }
    this.acquittals.set(part, now + TOLD_ACQUITTAL_MS);
  }

  private endBan(part: string, end: BanEnd): void {
    this.bans.remove(part);
    this.listener.onBanEnd(part, end);
  }

  /** Decides anew which parts are banned. */
  private updateBans(now: Moment): void {
    const all = this.memory.list(now);
    const settleMs = this.hasPeers() ? SETTLE_MS : 0;
    const settledBans = new Set(this.listSettledBans(now).map(({ part }) => part));
    const crashes = this.listUnexplained(all, settledBans);
    const settledAt = now - settleMs;
    const culprits = findCulprits(crashes, settledAt, (part) => this.readPartCompletion(part));
    const settled = crashes.filter(({ at }) => at <= settledAt);
    this.endUnfoundedBans(settled, culprits, now);
    for (const culprit of culprits) this.ban(culprit);
    const banned = new Set(this.bans.list().map(({ part }) => part));
    this.unexplained = this.listUnexplained(all, banned);
    const pending = all.map(({ at }) => at + settleMs).filter((moment) => moment > now);
    this.nextSettledAt = Math.min(...pending);
  }

  private ban(culprit: Culprit): void {
    if (this.bans.find(culprit.part) !== undefined) return;
    const { part, firstCrashAt, lastCrashAt, isTrusted } = culprit;
    this.bans.add({ part, firstCrashAt, lastCrashAt, isTrusted });
    this.listener.onBan(culprit);
  }

  /**
   * Ends bans that what was learned since speaks against. Only those whose crashes are all still
   * remembered can be judged.
   */
  private endUnfoundedBans(
    crashes: readonly Crash[],
    culprits: readonly Culprit[],
    now: Moment,
  ): void {
    const culpritParts = new Set(culprits.map(({ part }) => part));
    const others = new Set(this.listUnexplained(crashes, culpritParts));
    const settled = new Set(this.listSettledBans(now));
    for (const ban of this.bans.list()) {
      const { part } = ban;
      if (culpritParts.has(part) || settled.has(ban)) continue;
      const without = new Set(this.listUnexplained(crashes, new Set([part])));
      const own = crashes.filter((crash) => !without.has(crash));
      const isExplained = own.length > 0 && own.every((crash) => !others.has(crash));
      if (isExplained) this.endBan(part, BanEnd.explained);
      else if (this.wasTrusted(ban)) this.endBan(part, BanEnd.trusted);
    }
  }

  /** Checks whether a part was banned as one that never completed, and had. */
  private wasTrusted({ part, firstCrashAt, isTrusted }: PartBan): boolean {
    const completedAt = this.readPartCompletion(part) ?? -Infinity;
    return !isTrusted && completedAt > firstCrashAt - CRASH_MEMORY_MS;
  }

  private findRequestBan(fingerprint: string, now: Moment): Ban | undefined {
    const subject = { kind: SubjectKind.request, name: fingerprint };
    const since = Math.max(this.completions.read(subject) ?? -Infinity, now - CRASH_MEMORY_MS);
    const own = this.unexplained.filter(
      ({ at, suspects }) => at > since && suspects.has(fingerprint),
    );
    if (own.length < CRASHES_TO_BAN_REQUEST) return undefined;
    const groups = groupByMoment(this.unexplained);
    const moments = [...listOwnCrashes(new Set(own), groups)]
      .map(({ at }) => at)
      .sort((a, b) => b - a);
    const deciding = moments[CRASHES_TO_BAN_REQUEST - 1];
    return deciding === undefined ? undefined : { subject, deadline: deciding + CRASH_MEMORY_MS };
  }

  private listUnexplained(crashes: readonly Crash[], parts: ReadonlySet<string>): readonly Crash[] {
    return listUnexplained(crashes, parts, (part) => this.readPartCompletion(part));
  }

  private readPartCompletion(name: string): Moment | undefined {
    return this.completions.read({ kind: SubjectKind.part, name });
  }

  /** Lists the completions of subjects that a remembered crash or a ban speaks against. */
  private listCompletions(crashes: readonly Crash[], now: Moment): readonly CompletionReport[] {
    const suspects = crashes.flatMap((crash) => [...crash.suspects.values()]);
    const fingerprints = new Set(suspects.map(({ fingerprint }) => fingerprint));
    const parts = new Set(suspects.flatMap((suspect) => suspect.parts));
    for (const { part } of this.bans.list()) parts.add(part);
    const subjects = [
      ...this.listAcquittals(now).map((name) => ({ kind: SubjectKind.part, name })),
      ...[...parts].map((name) => ({ kind: SubjectKind.part, name })),
      ...[...fingerprints].map((name) => ({ kind: SubjectKind.request, name })),
    ];
    return subjects
      .map((subject) => ({ subject, ageMs: this.computeCompletionAgeMs(subject, now) }))
      .filter(({ ageMs, subject }) => ageMs < this.computeToldAgeMs(subject, now))
      .slice(0, MAX_TOLD_COMPLETIONS);
  }

  private listAcquittals(now: Moment): readonly string[] {
    return [...this.acquittals].filter(([, deadline]) => deadline > now).map(([part]) => part);
  }

  /** Computes up to which age a completion is told: any, if a peer may still hold a ban for it. */
  private computeToldAgeMs({ kind, name }: Subject, now: Moment): number {
    const deadline = kind === SubjectKind.part ? this.acquittals.get(name) : undefined;
    return deadline !== undefined && deadline > now ? Infinity : TOLD_COMPLETION_MS;
  }

  private computeCompletionAgeMs(subject: Subject, now: Moment): number {
    return Math.round(now - (this.completions.readOwn(subject) ?? -Infinity));
  }

  /** Lists the bans that peers may not be able to decide by themselves. */
  private listBans(now: Moment): readonly BanReport[] {
    return this.listSettledBans(now).map(({ part, strikes, lastCrashAt }) => ({
      part,
      strikes,
      lastCrashAgeMs: Math.round(now - lastCrashAt),
    }));
  }

  /** Lists the bans that can't be judged any more, as the first crashes are forgotten. */
  private listSettledBans(now: Moment): readonly PartBan[] {
    return this.bans.list().filter(({ firstCrashAt }) => firstCrashAt <= now - CRASH_MEMORY_MS);
  }
}
