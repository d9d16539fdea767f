/**
 * The blackboard: what an instance knows. Controllers read some records and write their own;
 * nothing else is shared between them.
 */
import type { Moment } from "../core/clock";
import { Claims } from "../core/claims";
import type { DutyAssignments } from "../core/duties";
import { type ConfigState, createConfigState } from "../core/configfold";
import { PoisonDetector } from "../core/poison";
import type { ListEntry } from "../store/list";

/** Another run of an instance that was heard of lately. */
export interface MemberView {
  readonly instance: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** After this it counts as not reachable. */
  readonly deadline: Moment;
  readonly isDraining: boolean;
}

/** What an endpoint last said of itself. */
export interface EndpointView {
  readonly name: string;
  readonly incarnation: string;
  readonly role: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly holds: readonly string[];
  readonly queuedTokens: number;
  readonly isDraining: boolean;
  /** Fencing number of the last order taken. */
  readonly fence: number;
  readonly reportedAt: Moment;
}

/** Until when an endpoint that does not answer is passed over. */
export interface Unreachable {
  readonly deadline: Moment;
}

/** One cell of the blackboard: a value, and those who want to know when it changes. */
export class ObservableValue<A> {
  private readonly listeners = new Set<(value: A) => void>();

  constructor(private value: A) {}

  read(): A {
    return this.value;
  }

  write(value: A): void {
    this.value = value;
    for (const listener of this.listeners) listener(value);
  }

  /** Calls `listener` after each write, until the returned function is called. */
  subscribe(listener: (value: A) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}

/** What an instance knows. */
export interface Blackboard {
  /** Written by the control reader. */
  readonly config: ObservableValue<ConfigState>;
  /** When the log was last known to hold nothing newer; written by the control reader. */
  readonly controlCaughtUpAt: ObservableValue<Moment>;
  /** Written by the control reader. */
  readonly duties: ObservableValue<DutyAssignments>;
  /** When each present assignment was first seen here, by record identifier. */
  readonly dutiesSeenAt: Map<string, Moment>;
  /** Written by the claimer. */
  readonly claims: Claims;
  /** Written by membership. */
  readonly members: Map<string, MemberView>;
  /** The platform's list, and when it was read; written by the list reader. */
  readonly platformList: ObservableValue<readonly ListEntry[]>;
  readonly listSeenAt: ObservableValue<Moment>;
  /** Written by the prober. */
  readonly endpoints: Map<string, EndpointView>;
  readonly unreachable: Map<string, Unreachable>;
  /** Endpoints that said of themselves, or of which a peer said, that they leave; until when. */
  readonly leaving: Map<string, Moment>;
  /** Written by whoever sees a crash or a ban. */
  readonly poison: PoisonDetector;
  /** True from the moment that a shutdown was asked for. */
  readonly draining: ObservableValue<boolean>;
}

/**
 * Creates an empty blackboard.
 *
 * @example
 * createBlackboard().config.read().version; // -1
 */
export function createBlackboard(): Blackboard {
  return {
    config: new ObservableValue(createConfigState()),
    controlCaughtUpAt: new ObservableValue(Number.NEGATIVE_INFINITY),
    duties: new ObservableValue<DutyAssignments>(new Map()),
    dutiesSeenAt: new Map(),
    claims: new Claims(),
    members: new Map(),
    platformList: new ObservableValue<readonly ListEntry[]>([]),
    listSeenAt: new ObservableValue(Number.NEGATIVE_INFINITY),
    endpoints: new Map(),
    unreachable: new Map(),
    leaving: new Map(),
    poison: new PoisonDetector(),
    draining: new ObservableValue<boolean>(false),
  };
}
