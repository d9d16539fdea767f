/**
 * Chooses endpoints of plain services: those that the route and the workspace allow, with the fewest
 * calls in flight, in the instance's own data centre first.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import { isEndpointLeaving } from "../control/listpoller";
import type { Clock } from "../core/clock";
import { isEvacuated } from "../core/config/evacuations";
import { Role } from "../core/config/objects";
import { matchesSelector, type Selector } from "../core/labels";
import type { Logger } from "../core/log";
import { createNotRunRefusal, Reason, type Refusal } from "../core/outcome";
import type { NamedEndpoint } from "../core/pools";
import { checkCaller } from "./caller";
import type { RoutedServiceRequest } from "./service";

const RETRY_AFTER_MS = 1000;

/** Dependencies of the choice. */
export interface EndpointChooserParts {
  readonly board: Blackboard;
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly logger: Logger;
}

/** Chooses endpoints, and counts the calls in flight from this instance. */
export class EndpointChooser {
  /** Calls in flight from this instance, by endpoint. */
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly parts: EndpointChooserParts) {}

  /** Counts a call to an endpoint while it runs. */
  async countWhile<A>(endpoint: string, run: () => Promise<A>): Promise<A> {
    this.inFlight.set(endpoint, (this.inFlight.get(endpoint) ?? 0) + 1);
    const result = await run();
    this.inFlight.set(endpoint, (this.inFlight.get(endpoint) ?? 1) - 1);
    return result;
  }

  /**
   * Chooses an endpoint. The key is checked here, in the same turn of the event loop as the send, and
   * again for each attempt.
   */
  chooseEndpoint(
    request: RoutedServiceRequest,
    excluded: ReadonlySet<string>,
  ): E.Either<Refusal, NamedEndpoint> {
    const { board, clock, logger } = this.parts;
    const now = clock.now();
    const refusal = checkCaller(board, request.caller, now);
    if (refusal !== undefined) return E.left(refusal);
    const usable = this.listUsableEndpoints(request, excluded);
    const reachable = this.listReachableEndpoints(request, excluded);
    const chosen = this.chooseLeastLoaded(reachable.length > 0 ? reachable : usable);
    logger.info("route", {
      request: request.id,
      workspace: request.caller.workspace,
      class: "",
      route: request.routeName,
      candidates: usable.length,
      chosen: chosen?.name ?? "none",
      reason: chosen === undefined ? "no endpoint left" : "fewest in flight, own data centre first",
    });
    if (chosen === undefined) {
      return E.left(
        createNotRunRefusal(503, Reason.noEndpoint, "no endpoint may run the call", RETRY_AFTER_MS),
      );
    }
    return E.right(chosen);
  }

  private listUsableEndpoints(
    request: RoutedServiceRequest,
    excluded: ReadonlySet<string>,
  ): readonly NamedEndpoint[] {
    const { board, clock } = this.parts;
    const now = clock.now();
    return this.listAllowedEndpoints(request).filter(
      ({ name }) => !excluded.has(name) && !isEndpointLeaving(board, name, now),
    );
  }

  /** Lists the endpoints that may run a call and that no call failed to reach of late. */
  listReachableEndpoints(
    request: RoutedServiceRequest,
    excluded: ReadonlySet<string>,
  ): readonly NamedEndpoint[] {
    const { board, clock } = this.parts;
    const now = clock.now();
    return this.listUsableEndpoints(request, excluded).filter(
      ({ name }) => (board.unreachable.get(name)?.deadline ?? 0) <= now,
    );
  }

  private listAllowedEndpoints(request: RoutedServiceRequest): readonly NamedEndpoint[] {
    const { configuration } = this.parts.board.config.read();
    const { endpoints, selectors, workspaces } = configuration;
    const selectorNames = [request.route.selector, workspaces[request.caller.workspace]?.selector];
    const requiredSelectors: readonly Selector[] = selectorNames.flatMap((name) =>
      name === undefined ? [] : [selectors[name] ?? {}],
    );
    return Object.entries(endpoints)
      .filter(
        ([, endpoint]) =>
          endpoint.role === Role.service && endpoint.service === request.route.service,
      )
      .filter(([, { dataCentre }]) => !isEvacuated(configuration, dataCentre))
      .filter(([, endpoint]) =>
        requiredSelectors.every((selector) => matchesSelector(selector, endpoint.labels ?? {})),
      )
      .map(([name, endpoint]) => ({ ...endpoint, name }));
  }

  private chooseLeastLoaded(endpoints: readonly NamedEndpoint[]): NamedEndpoint | undefined {
    const localEndpoints = endpoints.filter(
      (endpoint) => endpoint.dataCentre === this.parts.dataCentre,
    );
    const candidates = localEndpoints.length > 0 ? localEndpoints : endpoints;
    const fewestCalls = Math.min(
      ...candidates.map((endpoint) => this.inFlight.get(endpoint.name) ?? 0),
    );
    const leastLoaded = candidates.filter(
      (endpoint) => (this.inFlight.get(endpoint.name) ?? 0) === fewestCalls,
    );
    return leastLoaded[Math.floor(Math.random() * leastLoaded.length)];
  }
}
