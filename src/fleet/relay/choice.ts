/**
 * Chooses the relays of each data centre, and the neighbours of an instance. Each instance chooses for
 * itself by rendezvous hashing among the members that it takes for live; where views differ for a while
 * there are more relays, which does no harm.
 */
import { rankByRendezvousHash } from "../../core/rendezvous";

/** Number of relays in each data centre, so that the loss of one interrupts nothing. */
const RELAY_COUNT = 2;

/** An instance that may be a relay. */
export interface RelayCandidate {
  readonly instance: string;
  readonly dataCentre: string;
}

/**
 * Chooses the relays of a data centre.
 *
 * @example
 * chooseRelays(members, "nizwa"); // ["nizwa-4", "nizwa-2"]
 */
export function chooseRelays(
  members: readonly RelayCandidate[],
  dataCentre: string,
): readonly string[] {
  const names = members
    .filter((member) => member.dataCentre === dataCentre)
    .map(({ instance }) => instance);
  return rankByRendezvousHash(`relays of ${dataCentre}`, [...new Set(names)].sort()).slice(
    0,
    RELAY_COUNT,
  );
}

/** The relays of a fleet, and what follows from them for one instance. */
export interface Topology {
  /** The relays of each data centre, by its name. */
  readonly relays: ReadonlyMap<string, readonly string[]>;
  readonly relayNames: ReadonlySet<string>;
  readonly isRelay: boolean;
  /** The instances that it keeps a stream to. */
  readonly neighbours: readonly string[];
}

/**
 * Computes the neighbours of an instance: the relays of its data centre, and for a relay those of all
 * other data centres too.
 *
 * @param members - the live instances, including this one
 * @example
 * computeTopology(self, members).isRelay;
 */
export function computeTopology(
  self: RelayCandidate,
  members: readonly RelayCandidate[],
): Topology {
  const dataCentres = [...new Set(members.map(({ dataCentre }) => dataCentre))].sort();
  const relays = new Map(dataCentres.map((name) => [name, chooseRelays(members, name)]));
  const own = relays.get(self.dataCentre) ?? [];
  const isRelay = own.includes(self.instance);
  const relayNames = new Set([...relays.values()].flat());
  const neighbours = (isRelay ? [...relayNames] : own).filter((name) => name !== self.instance);
  return { relays, relayNames, isRelay, neighbours };
}

/** The topology of members; computed again only when they change, as it costs a hash for each. */
export class TopologyCache {
  private key: string | undefined;
  private topology: Topology = {
    relays: new Map(),
    relayNames: new Set(),
    isRelay: true,
    neighbours: [],
  };

  constructor(private readonly self: RelayCandidate) {}

  /** The topology that was computed last. */
  get current(): Topology {
    return this.topology;
  }

  /**
   * Updates the topology.
   *
   * @param members - the live instances, including this one
   * @returns true if it was computed again
   */
  update(members: readonly RelayCandidate[]): boolean {
    const key = members
      .map(({ instance, dataCentre }) => `${instance} ${dataCentre}`)
      .sort()
      .join("\n");
    if (key === this.key) return false;
    this.key = key;
    this.topology = computeTopology(this.self, members);
    return true;
  }
}
