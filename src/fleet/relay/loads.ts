/**
 * Decides which sums of load a neighbour is asked for, and adds up what neighbours report. A member
 * asks one relay for the sum of the fleet; a relay asks the members of its data centre for their own
 * load, and one relay of each other data centre for the sum there: the one that hears the most
 * members, of several the first by name.
 */
import { type RelayReport, RelayScope } from "../../peer/gen/fleet";
import type { RelayCandidate, Topology } from "./choice";
import type { RelayLink } from "./link";
import {
  applyReport,
  createReport,
  type Load,
  NO_LOAD,
  subtractLoad,
  sumLoads,
  UsageCounter,
} from "./sums";

/** How many times as many instances a relay must hear to be asked in place of another one. */
const CHANGE_FACTOR = 1.25;

/** Reads how many instances a relay hears. */
export type HeardCounter = (instance: string) => number;

/** Exchanges load with neighbours. */
export class LoadExchange {
  private own: Load = NO_LOAD;
  private readonly memberUsage = new UsageCounter();
  private readonly relayUsage = new UsageCounter();
  private readonly fleetUsage = new UsageCounter();

  constructor(private readonly self: RelayCandidate) {}

  /** Sets the load of this instance alone. */
  setOwnLoad(load: Load): void {
    this.own = load;
  }

  /** Decides what to ask each neighbour for. */
  chooseWanted(links: readonly RelayLink[], topology: Topology, countHeard: HeardCounter): void {
    const open = links.filter(({ brokenAt }) => brokenAt === undefined);
    const chosen = topology.isRelay
      ? this.chooseSources(open, topology, countHeard)
      : this.chooseFleetSource(open, topology, countHeard);
    for (const link of links) {
      const wanted = chosen.get(link) ?? RelayScope.RELAY_SCOPE_NONE;
      if (wanted === link.wanted) continue;
      link.wanted = wanted;
      link.received = undefined;
    }
  }

  /** Applies a report of a neighbour; ignores one of a scope that is no longer wanted. */
  applyReport(link: RelayLink, report: RelayReport): void {
    const { scope } = report;
    if (scope !== link.wanted || link.peer === undefined) return;
    const isFirst = link.received?.scope !== scope;
    if (isFirst && !report.whole) return;
    const load = applyReport(link.received?.load ?? NO_LOAD, report);
    link.received = { scope, load, rest: load };
    const { instance, incarnation } = link.peer;
    const source = `${instance} ${incarnation}`;
    if (scope === RelayScope.RELAY_SCOPE_INSTANCE) {
      this.memberUsage.count(source, load.usages, !this.memberUsage.isKnown(source));
    } else if (scope === RelayScope.RELAY_SCOPE_DATA_CENTRE) {
      this.relayUsage.count(source, load.usages, report.whole);
    } else {
      const usages = subtractUsage(load.usages, link.ownLoadKnown.usages);
      this.fleetUsage.count(source, usages, report.whole);
      link.received = { scope, load, rest: subtractLoad(load, link.ownLoadKnown) };
    }
  }

  /** Computes the load of all other instances together. */
  computePeerLoad(links: readonly RelayLink[]): Load {
    return sumLoads(listReceived(links), this.sumUsage());
  }

  /** Computes the load to report for a scope. */
  computeReported(links: readonly RelayLink[], scope: RelayScope): Load {
    if (scope === RelayScope.RELAY_SCOPE_INSTANCE) return this.own;
    if (scope === RelayScope.RELAY_SCOPE_FLEET) {
      const usages = addUsage(this.own.usages, this.sumUsage());
      return sumLoads([this.own, ...listReceived(links)], usages);
    }
    const members = listReceived(links, RelayScope.RELAY_SCOPE_INSTANCE);
    const usages = addUsage(this.own.usages, this.memberUsage.read());
    return sumLoads([this.own, ...members], usages);
  }

  private sumUsage(): ReadonlyMap<string, number> {
    const { memberUsage, relayUsage, fleetUsage } = this;
    return addUsage(addUsage(memberUsage.read(), relayUsage.read()), fleetUsage.read());
  }

  private chooseFleetSource(
    links: readonly RelayLink[],
    { relayNames }: Topology,
    countHeard: HeardCounter,
  ): ReadonlyMap<RelayLink, RelayScope> {
    const { dataCentre } = this.self;
    const relays = links.filter(
      ({ peer }) => peer?.dataCentre === dataCentre && relayNames.has(peer.instance),
    );
    const source = chooseSource(relays, RelayScope.RELAY_SCOPE_FLEET, countHeard);
    return new Map(source === undefined ? [] : [[source, RelayScope.RELAY_SCOPE_FLEET]]);
  }

  private chooseSources(
    links: readonly RelayLink[],
    { relays }: Topology,
    countHeard: HeardCounter,
  ): ReadonlyMap<RelayLink, RelayScope> {
    const chosen = new Map<RelayLink, RelayScope>();
    for (const [dataCentre, names] of relays) {
      const local = links.filter(({ peer }) => peer?.dataCentre === dataCentre);
      if (dataCentre === this.self.dataCentre) {
        for (const link of chooseOnePerPeer(local)) {
          chosen.set(link, RelayScope.RELAY_SCOPE_INSTANCE);
        }
        continue;
      }
      const eligible = local.filter(({ peer }) => names.includes(peer?.instance ?? ""));
      const source = chooseSource(eligible, RelayScope.RELAY_SCOPE_DATA_CENTRE, countHeard);
      if (source !== undefined) chosen.set(source, RelayScope.RELAY_SCOPE_DATA_CENTRE);
    }
    return chosen;
  }
}

/** Encodes reports for neighbours; equal ones are encoded once. */
export class ReportEncoder {
  private readonly encoded = new Map<Load | undefined, Uint8Array | undefined>();

  constructor(
    private readonly scope: RelayScope,
    readonly load: Load,
  ) {}

  /** Encodes what changed since a load; undefined if nothing did. */
  encode(before: Load | undefined, wrap: (report: RelayReport) => Uint8Array) {
    if (this.encoded.has(before)) return this.encoded.get(before);
    const report = createReport(this.scope, before, this.load);
    const bytes = report === undefined ? undefined : wrap(report);
    this.encoded.set(before, bytes);
    return bytes;
  }
}

/**
 * Chooses the neighbour that hears the most instances, of several the first by name; keeps the one that
 * was chosen before unless another hears clearly more, as a change loses what is on its way.
 */
function chooseSource(
  links: readonly RelayLink[],
  scope: RelayScope,
  countHeard: HeardCounter,
): RelayLink | undefined {
  const countOf = (link: RelayLink) => countHeard(link.peer?.instance ?? "");
  const [best] = [...links].sort((a, b) => {
    const [first, second] = [a.peer?.instance ?? "", b.peer?.instance ?? ""];
    return countOf(b) - countOf(a) || (first < second ? -1 : 1);
  });
  const current = links.find(({ wanted }) => wanted === scope);
  if (current === undefined || best === undefined) return best;
  return countOf(best) > countOf(current) * CHANGE_FACTOR ? best : current;
}

function chooseOnePerPeer(links: readonly RelayLink[]): Iterable<RelayLink> {
  return new Map(links.map((link) => [link.peer?.instance, link])).values();
}

function listReceived(links: readonly RelayLink[], scope?: RelayScope): readonly Load[] {
  return links.flatMap(({ received }) =>
    received !== undefined && (scope === undefined || received.scope === scope)
      ? [received.rest]
      : [],
  );
}

function addUsage(
  a: ReadonlyMap<string, number>,
  b: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  if (b.size === 0) return a;
  const sum = new Map(a);
  for (const [workspace, cost] of b) sum.set(workspace, (sum.get(workspace) ?? 0) + cost);
  return sum;
}

/** Subtracts the own part; the result may be negative, as only its differences are counted. */
function subtractUsage(
  sum: ReadonlyMap<string, number>,
  own: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const rest = new Map(sum);
  for (const [workspace, cost] of own) rest.set(workspace, (sum.get(workspace) ?? 0) - cost);
  return rest;
}
