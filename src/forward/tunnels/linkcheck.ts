/**
 * Checks this instance's own link while an endpoint refuses connections. Answers the fault that a cut
 * which refuses connections looks like a crash of every endpoint behind it, to each instance that is
 * cut off: one that reaches no other endpoint either is no witness of a crash.
 */
import * as E from "fp-ts/Either";
import type { EndpointEntry } from "../../fleet/entries";
import { discardSocket, openDirectly } from "./dialrun";
import type { DirectOpener } from "./directopener";
import type { EndpointTarget } from "../limits";
import type { DirectHistory } from "./paths";

/** Timeout of a connect to another endpoint, in milliseconds; the dial of a peer waits for it. */
const CHECK_TIMEOUT_MS = 60;
/** Number of other endpoints to connect to; some may have crashed at the same moment. */
const MAX_CHECKED = 3;

/** Checks whether this instance can tell a crash from a cut of its own link. */
export interface LinkChecker {
  /**
   * Checks whether this instance reaches other endpoints of an endpoint's data centre, so that a
   * refused connection speaks of the endpoint and not of the link. True if there is no other endpoint.
   *
   * @param id - the endpoint that refused a connection just now
   */
  check(id: string): Promise<boolean>;
}

/** Reads when this instance last connected to an endpoint, and failed to. */
export type HistoryReader = (target: EndpointTarget) => DirectHistory;

/** Dependencies of a link checker. */
export interface LinkCheckParts {
  readonly direct: DirectOpener;
  /** Lists the endpoints that may be connected to. */
  readonly listEndpoints: () => readonly EndpointEntry[];
  /** Finds an endpoint's data centre; undefined if it is not known. */
  readonly findDataCentre: (id: string) => string | undefined;
  readonly readHistory: HistoryReader;
}

/** Connects to other endpoints; checks for endpoints of one data centre share the connects. */
export class DirectLinkChecker implements LinkChecker {
  /** By data centre. */
  private readonly running = new Map<string | undefined, Promise<boolean>>();

  constructor(private readonly parts: LinkCheckParts) {}

  check(id: string): Promise<boolean> {
    const dataCentre = this.parts.findDataCentre(id);
    const running = this.running.get(dataCentre);
    if (running !== undefined) return running;
    const check = this.reachOthers(id, dataCentre).finally(() => this.running.delete(dataCentre));
    this.running.set(dataCentre, check);
    return check;
  }

  private async reachOthers(id: string, dataCentre: string | undefined): Promise<boolean> {
    const { listEndpoints, readHistory } = this.parts;
    const others = chooseOthers(listEndpoints(), id, dataCentre, readHistory);
    if (others.length === 0) return true;
    const reached = await Promise.all(others.map((other) => this.reach(other)));
    return reached.includes(true);
  }

  private async reach(other: EndpointTarget): Promise<boolean> {
    const options = { timeoutMs: CHECK_TIMEOUT_MS, mustSettle: true };
    const opened = await openDirectly(this.parts.direct, other, options);
    if (E.isLeft(opened)) return false;
    discardSocket(opened.right);
    return true;
  }
}

/**
 * Chooses the endpoints by which a link is checked: those of the same data centre, or all if there are
 * none; of these the ones that no connect failed to, as they may have crashed too, and then the ones
 * connected to last.
 *
 * @example
 * chooseOthers(directory.listUsable(now), "d1", "nizwa", (target) => paths.readDirectHistory(target));
 */
export function chooseOthers(
  entries: readonly EndpointEntry[],
  id: string,
  dataCentre: string | undefined,
  readHistory: HistoryReader,
): readonly EndpointEntry[] {
  const others = entries.filter((entry) => entry.id !== id);
  const near = others.filter((entry) => entry.dataCentre === dataCentre);
  return (near.length > 0 ? near : others)
    .map((entry) => ({ entry, history: readHistory(entry) }))
    .sort((a, b) => compareHistories(a.history, b.history))
    .slice(0, MAX_CHECKED)
    .map(({ entry }) => entry);
}

/** Orders endpoints that are more likely to be up first. */
function compareHistories(a: DirectHistory, b: DirectHistory): number {
  if (a.failedAt !== b.failedAt) return a.failedAt < b.failedAt ? -1 : 1;
  if (a.okAt !== b.okAt) return a.okAt > b.okAt ? -1 : 1;
  return 0;
}
