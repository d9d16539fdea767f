/**
 * The faults and planned changes that a soak plays.
 */

/** What is done. */
export const FaultKind = {
  /** Instances are cut off from all endpoints. */
  cut: "cut",
  /** What an instance exchanges with endpoints is delayed. */
  delay: "delay",
  /** An instance gets SIGTERM, and is started again once its process is gone. */
  terminate: "terminate",
  /** An instance gets SIGKILL, and is started again. */
  kill: "kill",
  /** An instance gets SIGSTOP, and SIGCONT later. */
  freeze: "freeze",
  /** A configuration with a changed field is published. */
  reconfigure: "reconfigure",
  /** An endpoint is silent at one stage of requests, and then goes on. */
  silence: "silence",
  /** The process of an endpoint dies, and another one takes its place. */
  crash: "crash",
  /** The process of an engine dies amid its streams, and is back at its address and under its id, maybe at another version. */
  restart: "restart",
  /** A plain service or a prefill engine writes each answer a second time, late, on the same connection. */
  copy: "copy",
  /** An endpoint answers what is not an answer: a page amid a stream, or bytes without end. */
  spoil: "spoil",
  /** Bytes that are no request reach a port of an instance. */
  malformed: "malformed",
  /** The store does not do what it is asked for. */
  store: "store",
  /** Callers of all instances ask for several streams at once. */
  burst: "burst",
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** How the store fails. */
export const StoreFailure = {
  /** It refuses calls. */
  away: "away",
  /** It does not answer. */
  silent: "silent",
  /** It answers late. */
  slow: "slow",
  /** It is away, and comes back from an earlier copy. */
  restored: "restored",
} as const;
export type StoreFailure = (typeof StoreFailure)[keyof typeof StoreFailure];

/** The ports of an instance, as its settings name them. */
export const InstancePort = { callers: "callers", ready: "ready", peers: "peers" } as const;
export type InstancePort = (typeof InstancePort)[keyof typeof InstancePort];

/** A fault of the schedule; its times are in milliseconds from the start of the traffic. */
export interface Fault {
  readonly kind: FaultKind;
  readonly at: number;
  /** When it ends; for `terminate`, when the process is expected to be back. */
  readonly until: number;
  readonly instances: readonly string[];
  readonly endpoints: readonly string[];
  /** How it is done, such as the mode of a cut, the stage of a silence or the changed field. */
  readonly manner: string;
}

/**
 * Describes a fault in one line.
 *
 * @example
 * describeFault(fault); // "4.000 to 9.000 s: cut (hang) nizwa-1 bahla-2"
 */
export function describeFault({ kind, at, until, instances, endpoints, manner }: Fault): string {
  const targets = [...instances, ...endpoints].join(" ");
  return `${formatSeconds(at)} to ${formatSeconds(until)} s: ${kind} (${manner}) ${targets}`.trim();
}

/**
 * Formats a time as seconds.
 *
 * @example
 * formatSeconds(4250); // "4.250"
 */
export function formatSeconds(ms: number): string {
  return (ms / 1000).toFixed(3);
}
