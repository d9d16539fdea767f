/**
 * The blackboard: the in-memory state of an instance. Its components read each other's entries and
 * write their own; they share no other state.
 */
import type { Moment } from "../core/clock";
import { Claims } from "../core/claims";
import type { DutyAssignments } from "../core/duties";
import { type ConfigState, createConfigState } from "../core/config/fold";
import { PoisonDetector } from "../core/crashes/poison";
import type { ListEntry } from "../store/list";

/** An incarnation of another instance that was seen recently in a heartbeat, direct or relayed. */
export interface MemberView {
  readonly instance: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** When the member counts as unreachable unless another heartbeat arrives. */
  readonly deadline: Moment;
  readonly isDraining: boolean;
}

/** The last report of an endpoint. */
export interface EndpointView {
  readonly name: string;
  readonly incarnation: string;
  readonly role: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly holds: readonly string[];
  readonly queuedTokens: number;
  readonly isDraining: boolean;
  /** Fencing token of the last order that the endpoint accepted. */
  readonly fence: number;
  /** When the call that fetched the report began. */
  readonly reportedAt: Moment;
}

/** An endpoint that did not answer. */
export interface Unreachable {
  /** Until when no requests are placed on the endpoint. */
  readonly deadline: Moment;
}

/** A value that notifies its subscribers of every write. */
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

/** The state that the components of an instance share; each entry names its writer. */
export interface Blackboard {
  /** Written by the control reader. */
  readonly config: ObservableValue<ConfigState>;
  /**
   * The latest moment at which everything in the control stream is known to have been read here;
   * written by the control reader.
   */
  readonly controlCaughtUpAt: ObservableValue<Moment>;
  /** Current duty assignments; written by the control reader. */
  readonly duties: ObservableValue<DutyAssignments>;
  /**
   * When each current assignment was first seen here, by record identifier; written by the control
   * reader.
   */
  readonly dutiesSeenAt: Map<string, Moment>;
  /** Written by the claimer. */
  readonly claims: Claims;
  /** Recently seen members, by instance name; written by membership. */
  readonly members: Map<string, MemberView>;
  /** The platform's list; written by the list poller. */
  readonly platformList: ObservableValue<readonly ListEntry[]>;
  /** When the read that returned the list began; written by the list poller. */
  readonly listSeenAt: ObservableValue<Moment>;
  /** Last reports, by endpoint name; written by the prober. */
  readonly endpoints: Map<string, EndpointView>;
  /**
   * Endpoints that requests are not placed on because they did not answer, by name; written by the
   * prober, the scheduler and the service router.
   */
  readonly unreachable: Map<string, Unreachable>;
  /**
   * Endpoints that are leaving according to their own reports or to a peer, by name, and when each
   * entry expires; written by the prober and by membership.
   */
  readonly leaving: Map<string, Moment>;
  /**
   * Suspects and bans; written by the scheduler and the service router, which see crashes, and by
   * membership, which receives the bans of peers.
   */
  readonly poison: PoisonDetector;
  /** True once a shutdown has been requested. */
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
