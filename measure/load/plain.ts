/**
 * Simulates many instances in front of the endpoints of a plain service, in virtual time: what callers get,
 * and how many connections are opened. The choice of the endpoint is the router's own code.
 */
import type { Candidate } from "../../src/forward/calls/balancer";
import { chooseEndpoint } from "../../src/forward/calls/balancer";
import { CallOutcome, EndpointSubsets, HealthTracker } from "../../src/forward/endpoints";
import type { EndpointEntry } from "../../src/fleet/entries";
import { createArrivals, createRandom, type LoadParameters, type Random } from "./arrivals";
import { createMachine, type MachineParameters } from "./machine";
import type { Machine } from "./engine";

const SERVICE = "plain";
const KIND = "route@plain";
const MACHINE_SEED_OFFSET = 1000;

/** A load of a plain service. */
export interface PlainScenario {
  readonly name: string;
  readonly instances: number;
  readonly endpoints: number;
  readonly slots: number;
  /** Mean time of a request on a usual machine, in milliseconds. */
  readonly serviceMs: number;
  readonly load: LoadParameters;
  readonly machines: MachineParameters;
  /** How long an idle connection is kept, in milliseconds. */
  readonly keepAliveMs: number;
}

/** What decides on the endpoint. */
export interface PlainPolicy {
  readonly name: string;
  readonly usesExpectedTime: boolean;
  readonly usesSubset: boolean;
}

/** What callers got, and the connections that were opened. */
export interface PlainResult {
  readonly requests: number;
  readonly onTime: number;
  readonly connections: number;
  readonly latencyP99Ms: number;
}

/** An endpoint whose requests wait for a slot in the order of their arrival. */
class PlainEndpoint {
  /** When each slot is free. */
  private readonly freeAt: number[];
  private readonly ends: number[] = [];

  constructor(
    readonly entry: EndpointEntry,
    readonly machine: Machine,
    private readonly serviceMs: number,
    private readonly random: Random,
  ) {
    this.freeAt = Array.from({ length: entry.slots }, () => 0);
  }

  /** Adds a request; returns when it ends. */
  add(now: number): number {
    const slot = this.freeAt.indexOf(Math.min(...this.freeAt));
    const startsAt = Math.max(now, this.freeAt[slot] ?? 0);
    const ms = this.serviceMs * (0.5 + this.random()) * this.machine.readSlowness(startsAt);
    this.freeAt[slot] = startsAt + ms;
    this.ends.push(startsAt + ms);
    return startsAt + ms;
  }

  readLoad(now: number) {
    const open = this.ends.filter((end) => end > now).length;
    const { slots } = this.entry;
    const running = Math.min(slots, open);
    return { running, waiting: open - running, slots, slowness: this.machine.readSlowness(now) };
  }
}

/** An instance with what it knows of the endpoints, and its idle connections by endpoint. */
class PlainRouter {
  readonly health = new HealthTracker();
  readonly subsets: EndpointSubsets;
  connections = 0;
  private readonly idleSince = new Map<string, number[]>();

  constructor(
    name: string,
    readonly dataCentre: string,
    instances: number,
    private readonly keepAliveMs: number,
  ) {
    this.subsets = new EndpointSubsets(name, dataCentre, () => instances);
  }

  acquireConnection(id: string, now: number): void {
    const idle = (this.idleSince.get(id) ?? []).filter((since) => now - since < this.keepAliveMs);
    if (idle.pop() === undefined) this.connections += 1;
    this.idleSince.set(id, idle);
  }

  releaseConnection(id: string, now: number): void {
    this.idleSince.get(id)?.push(now);
  }
}

/**
 * Runs a load of a plain service under a policy.
 *
 * @example
 * runPlainScenario(PLAIN_SCENARIOS[0], PLAIN_POLICIES[0], 1).connections;
 */
export function runPlainScenario(
  scenario: PlainScenario,
  policy: PlainPolicy,
  seed: number,
): PlainResult {
  const random = createRandom(seed);
  const arrivals = createArrivals(scenario.load, random);
  const machineRandom = createRandom(seed + MACHINE_SEED_OFFSET);
  const endpoints = Array.from({ length: scenario.endpoints }, (_, index) =>
    createEndpoint(scenario, index, machineRandom),
  );
  const { dataCentres } = scenario.machines;
  const routers = Array.from({ length: scenario.instances }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length] ?? "";
    return new PlainRouter(`r${index}`, dataCentre, scenario.instances, scenario.keepAliveMs);
  });
  const latencies: number[] = [];
  const ends: { readonly at: number; readonly action: () => void }[] = [];
  for (const { arrivedAt } of arrivals) {
    ends.sort((a, b) => b.at - a.at);
    while ((ends.at(-1)?.at ?? Infinity) <= arrivedAt) ends.pop()?.action();
    const router = routers[Math.floor(random() * routers.length)];
    if (router === undefined) continue;
    const endpoint = chooseFor(router, endpoints, policy, random, arrivedAt);
    if (endpoint === undefined) continue;
    const { id, slots } = endpoint.entry;
    const ahead = router.health.readView(id, arrivedAt).load;
    const units = 1 + Math.max(0, ahead + 1 - slots) / slots;
    const call = router.health.beginCall(id, arrivedAt);
    router.acquireConnection(id, arrivedAt);
    const endsAt = endpoint.add(arrivedAt);
    latencies.push(endsAt - arrivedAt);
    const action = () => {
      router.releaseConnection(id, endsAt);
      router.health.recordLoad(id, endpoint.readLoad(endsAt), endsAt);
      call.end(CallOutcome.success, endsAt);
      router.health.recordWork(KIND, id, { ms: endsAt - arrivedAt, units }, endsAt);
    };
    ends.push({ at: endsAt, action });
  }
  latencies.sort((a, b) => a - b);
  const { targetLatencyMs } = scenario.load;
  return {
    requests: latencies.length,
    onTime: latencies.filter((ms) => ms <= targetLatencyMs).length / latencies.length,
    connections: routers.reduce((sum, { connections }) => sum + connections, 0) / latencies.length,
    latencyP99Ms: latencies[Math.floor(latencies.length * 0.99)] ?? 0,
  };
}

function createEndpoint(scenario: PlainScenario, index: number, random: Random): PlainEndpoint {
  const { machines, slots, serviceMs, load } = scenario;
  const machine = createMachine(machines, index, load.durationMs, random);
  const entry = {
    id: `e${index}`,
    service: SERVICE,
    address: `e${index}:1`,
    dataCentre: machine.dataCentre ?? "",
    slots,
    isLeaving: false,
    stage: undefined,
    version: undefined,
    processStartedAt: 1,
    sequence: 1,
  };
  return new PlainEndpoint(entry, machine, serviceMs, random);
}

function chooseFor(
  { health, subsets, dataCentre }: PlainRouter,
  endpoints: readonly PlainEndpoint[],
  policy: PlainPolicy,
  random: Random,
  now: number,
): PlainEndpoint | undefined {
  const entries = endpoints.map(({ entry }) => entry);
  const subset = policy.usesSubset ? subsets.find(SERVICE, entries) : undefined;
  const candidates = entries.map((endpoint): Candidate => ({
    endpoint,
    health: health.readView(endpoint.id, now),
    isInDoubt: false,
    isLimited: false,
    isOutsideSubset: subset !== undefined && !subset.has(endpoint.id),
    ...(policy.usesExpectedTime ? { speed: health.estimateSpeed(KIND, endpoint.id, now) } : {}),
  }));
  const choice = chooseEndpoint(candidates, dataCentre, new Set(), random);
  return endpoints.find(({ entry }) => entry === choice?.endpoint);
}
