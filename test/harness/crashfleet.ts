/**
 * A fleet of crash trackers in virtual time, one an instance, that exchange what they know as heartbeats do, and engines
 * that crash on poisoned parts of prompts or lose power.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type BanListener, CrashTracker } from "../../src/core/crashes/tracker";
import { chooseByRendezvousHash } from "../../src/core/rendezvous";
import { isSuspect, type Suspect } from "../../src/core/crashes/suspects";
import { decodeKnowledge, encodeKnowledge } from "../../src/forward/shared/crashwire";
import { Beat } from "../../src/peer/gen/fleet";
import { EventQueue } from "./events";

const BEAT_INTERVAL_MS = 500;
/** Range of the times that things take, in milliseconds. */
const MS = {
  delivery: [1, 20],
  prefill: [100, 350],
  firstEvent: [15, 600],
  stream: [1000, 8000],
  crash: [40, 120],
  restart: [2000, 4000],
  callerRetry: [200, 600],
} as const;
/** How long a stream must be written to show that it crashes no engine, in milliseconds. */
const ACQUITTED_MS = 500;
const MAX_RUNS = 2;
const MAX_CALLS = 3;

/** A request of a caller. */
export interface StormRequest extends Suspect {
  /** The first of its parts that crashes engines; empty if none does. */
  readonly poison: string;
  readonly isResumable: boolean;
}

/** Something that the fleet did, for the checks of a test. */
export interface StormEvent {
  readonly at: number;
  readonly kind: "crash" | "send" | "refused" | "completed" | "banned" | "ban ended";
  readonly isPoisoned: boolean;
  /** The part that was banned, or whose ban ended, or that is poisoned; empty where there is none. */
  readonly part: string;
}

interface Node {
  readonly name: string;
  readonly tracker: CrashTracker;
  isCut: boolean;
}

interface Run {
  readonly node: Node;
  readonly request: StormRequest;
  readonly onBreak: () => void;
  firstEventAt: number | undefined;
}

interface Engine {
  readonly name: string;
  incarnation: number;
  isUp: boolean;
  readonly runs: Set<Run>;
}

/** A simulated fleet. */
export class CrashFleet {
  readonly events = new EventQueue(1_000_000);
  readonly history: StormEvent[] = [];
  readonly nodes: readonly Node[];
  private readonly engines: readonly Engine[];
  private readonly random: () => number;
  private requestCount = 0;

  constructor(
    instances: number,
    engines: number,
    seed: number,
    private readonly isPoison: (part: string) => boolean,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const names = Array.from({ length: instances }, (_, index) => `n${index}`);
    this.nodes = names.map((name) => {
      const isResponsible = (part: string) => chooseByRendezvousHash(part, names) === name;
      const tracker = new CrashTracker(isResponsible, this.createListener());
      return { name, tracker, isCut: false };
    });
    this.engines = Array.from({ length: engines }, (_, index) => ({
      name: `d${index}`,
      incarnation: 0,
      isUp: true,
      runs: new Set<Run>(),
    }));
    for (const node of this.nodes)
      this.events.schedule(this.draw() * BEAT_INTERVAL_MS, () => {
        this.beat(node);
      });
  }

  get now(): number {
    return this.events.clock.now();
  }

  /** Returns a random number in [0, 1). */
  draw(): number {
    return this.random();
  }

  /** Counts what has happened of a kind. */
  list(kind: StormEvent["kind"], isPoisoned?: boolean): readonly StormEvent[] {
    return this.history.filter(
      (event) => event.kind === kind && (isPoisoned ?? event.isPoisoned) === event.isPoisoned,
    );
  }

  /** Sends requests at a mean rate for a time, at instances drawn anew for each. */
  startTraffic(perSecond: number, forMs: number, createParts: () => readonly string[]): void {
    const end = this.now + forMs;
    const sendNext = () => {
      if (this.now > end) return;
      this.request(Math.floor(this.draw() * this.nodes.length), createParts());
      this.events.schedule((-Math.log(1 - this.draw()) * 1000) / perSecond, sendNext);
    };
    this.events.schedule(0, sendNext);
  }

  /** Sends a request with these parts, and a last part of its own, at an instance. */
  request(index: number, parts: readonly string[]): void {
    const node = this.nodes[index];
    if (node === undefined) return;
    this.requestCount += 1;
    this.admit(node, {
      fingerprint: `f${this.requestCount}`,
      parts,
      poison: parts.find(this.isPoison) ?? "",
      isResumable: this.draw() < 0.5,
    });
  }

  /** Ends engines at once, as a loss of power does. */
  stopEngines(count: number): void {
    const running = this.engines.filter((engine) => engine.isUp);
    for (const engine of running.slice(0, count)) this.crash(engine, "");
  }

  /** Cuts an instance off from its peers, or ends that. */
  cut(index: number, isCut: boolean): void {
    const node = this.nodes[index];
    if (node !== undefined) node.isCut = isCut;
  }

  private admit(node: Node, request: StormRequest, calls = 1): void {
    const onFailure = () => {
      if (calls >= MAX_CALLS) return;
      this.after("callerRetry", () => {
        this.admit(node, request, calls + 1);
      });
    };
    if (node.tracker.findBan(request, this.now) !== undefined) {
      this.record("refused", request.poison);
      onFailure();
      return;
    }
    this.prefill(node, request, onFailure);
  }

  private prefill(node: Node, request: StormRequest, onFailure: () => void): void {
    if (!this.send(node, request)) {
      onFailure();
      return;
    }
    this.after("prefill", () => {
      this.decode(node, request, 1, onFailure);
    });
  }

  private decode(node: Node, request: StormRequest, runs: number, onFailure: () => void): void {
    const engine = this.chooseEngine();
    if (engine === undefined || !this.send(node, request)) {
      onFailure();
      return;
    }
    const onBreak = () => {
      const mayRetry = request.isResumable && runs < MAX_RUNS;
      if (!mayRetry || node.tracker.findBan(request, this.now) !== undefined) onFailure();
      else this.decode(node, request, runs + 1, onFailure);
    };
    const run: Run = { node, request, onBreak, firstEventAt: undefined };
    engine.runs.add(run);
    this.after("firstEvent", () => {
      if (engine.runs.has(run)) this.write(engine, run);
    });
  }

  private write(engine: Engine, run: Run): void {
    const { request, node } = run;
    // The answer may break off before the caller's first event.
    if (request.poison === "" || this.draw() < 0.5) run.firstEventAt = this.now;
    const { incarnation } = engine;
    if (request.poison !== "") {
      this.after("crash", () => {
        if (engine.isUp && engine.incarnation === incarnation) this.crash(engine, request.poison);
      });
      return;
    }
    this.events.schedule(ACQUITTED_MS, () => {
      if (engine.runs.has(run)) node.tracker.recordCompletion(request, this.now);
    });
    this.after("stream", () => {
      if (!engine.runs.delete(run)) return;
      node.tracker.recordCompletion(request, this.now);
      this.record("completed", request.poison);
    });
  }

  private crash(engine: Engine, poison: string): void {
    this.record("crash", poison);
    const process = `${engine.name}@${engine.incarnation}`;
    const broken = [...engine.runs];
    engine.runs.clear();
    engine.isUp = false;
    for (const run of broken) {
      // The probe of the broken connection.
      this.events.schedule(this.draw() * 15, () => {
        this.recordCrash(run, process);
        run.onBreak();
      });
    }
    this.after("restart", () => {
      engine.incarnation += 1;
      engine.isUp = true;
    });
  }

  private recordCrash({ node, request, firstEventAt }: Run, process: string): void {
    const { fingerprint, parts } = request;
    const isBystander = !isSuspect({ firstEventAt, brokeAt: this.now });
    const suspects = isBystander ? [] : [{ fingerprint, parts }];
    if (node.tracker.recordCrash({ process, suspects }, this.now)) this.reportCrash(node);
  }

  private send(node: Node, request: StormRequest): boolean {
    if (node.tracker.beginRun(request, this.now) !== undefined) {
      this.record("refused", request.poison);
      return false;
    }
    this.record("send", request.poison);
    return true;
  }

  private chooseEngine(): Engine | undefined {
    const up = this.engines.filter((engine) => engine.isUp);
    return up[Math.floor(this.draw() * up.length)];
  }

  private readonly announcers = new Map<string, number>();

  /** Reports as `Announcer` does, whose timer is not one of virtual time. */
  private reportCrash(node: Node): void {
    const nextAt = this.announcers.get(node.name) ?? 0;
    if (nextAt > this.now + 100) return;
    this.events.schedule(Math.max(0, nextAt - this.now), () => {
      this.exchange(node);
    });
    this.announcers.set(node.name, Math.max(nextAt, this.now) + 100);
  }

  private beat(node: Node): void {
    this.exchange(node);
    this.events.schedule(BEAT_INTERVAL_MS, () => {
      this.beat(node);
    });
  }

  private exchange(node: Node): void {
    for (const peer of this.nodes) {
      if (peer === node || peer.isCut || node.isCut) continue;
      this.deliver(node, peer, () => {
        this.deliver(peer, node, () => undefined);
      });
    }
  }

  private deliver(from: Node, to: Node, onArrival: () => void): void {
    const beat = Beat.fromPartial(encodeKnowledge(from.tracker.listKnowledge(this.now)));
    const bytes = Beat.encode(beat).finish();
    this.after("delivery", () => {
      to.tracker.mergeKnowledge(decodeKnowledge(Beat.decode(bytes)), this.now);
      onArrival();
    });
  }

  private after(step: keyof typeof MS, run: () => void): void {
    const [from, to] = MS[step];
    this.events.schedule(from + this.draw() * (to - from), run);
  }

  private record(kind: StormEvent["kind"], part: string): void {
    const isPoisoned = part !== "" && this.isPoison(part);
    this.history.push({ at: this.now, kind, isPoisoned, part });
  }

  private createListener(): BanListener {
    return {
      onBan: ({ part }) => {
        this.record("banned", part);
      },
      onBanAgain: (part) => {
        this.record("banned", part);
      },
      onBanEnd: (part) => {
        this.record("ban ended", part);
      },
    };
  }
}
