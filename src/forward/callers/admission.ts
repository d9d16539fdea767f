/**
 * Checks a request against the configuration, the keys, the rates and the known poison requests
 * before anything is sent.
 */
import * as E from "fp-ts/Either";
import type { Moment } from "../../core/clock";
import { computeFingerprint } from "../../core/ids";
import type { Logger } from "../../core/log";
import { createNotRunRefusal, createPoisonRefusal, Reason, type Refusal } from "../../core/outcome";
import {
  type FleetConfigIndex,
  chooseService,
  CostUnit,
  type FleetRoute,
  type FleetWorkspace,
} from "../../fleet/config";
import { combineRegions } from "../../fleet/regions";
import type { CrashTracker } from "../../core/crashes/tracker";
import type { ForwardRequest, RequestHead } from "../requests";
import type { QuotaCharger } from "../shared";

/** Retry delay for callers of an instance that isn't ready, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** Age from which the configuration may lack changes that other instances know, in milliseconds. */
const CONFIG_STALE_MS = 4000;

/** Dependencies of admission. */
export interface AdmissionParts {
  readonly readConfigIndex: () => FleetConfigIndex | undefined;
  /** Computes the time since the newest configuration was last confirmed, in milliseconds. */
  readonly computeConfigAgeMs: () => number;
  readonly charger: QuotaCharger;
  readonly crashes: CrashTracker;
  readonly logger: Logger;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** Admits requests or refuses them. */
export class Admission {
  constructor(private readonly parts: AdmissionParts) {}

  /** Admits a request, or returns the refusal; a refused request reaches no endpoint. */
  async admit(
    head: RequestHead,
    body: Buffer,
    now: Moment,
  ): Promise<E.Either<Refusal, ForwardRequest>> {
    const configIndex = this.parts.readConfigIndex();
    if (configIndex === undefined)
      return E.left(createNotReadyRefusal("no configuration is known yet"));
    const route = configIndex.findRoute(head.host, head.path);
    if (route === undefined) return E.left(this.createLookupRefusal(404, Reason.unknownRoute));
    const workspace = this.findWorkspace(configIndex, route, head.key);
    if (E.isLeft(workspace)) return workspace;
    const service = chooseService(route.services, this.parts.random());
    if (service === undefined) return E.left(createNotReadyRefusal("the route has no service"));
    const fingerprint = computeFingerprint(head.method, head.target, head.key ?? "", body);
    const suspect = { fingerprint, parts: head.promptParts };
    const ban = this.parts.crashes.findBan(suspect, now);
    if (ban !== undefined) return E.left(createPoisonRefusal());
    const isOverRate = await this.charge(head, workspace.right);
    if (E.isLeft(isOverRate)) return isOverRate;
    return E.right({
      head,
      body,
      configIndex,
      route,
      service,
      workspace: workspace.right,
      priority: workspace.right?.priority ?? route.priority,
      isOverRate: isOverRate.right,
      allowedRegions: combineRegions(route.allowedRegions, workspace.right?.allowedRegions),
      fingerprint,
    });
  }

  private findWorkspace(
    configIndex: FleetConfigIndex,
    route: FleetRoute,
    key: string | undefined,
  ): E.Either<Refusal, FleetWorkspace | undefined> {
    const workspace = key === undefined ? undefined : configIndex.findWorkspace(key);
    if (workspace !== undefined || route.isPublic) return E.right(workspace);
    const reason = key === undefined ? Reason.keyMissing : Reason.keyUnknown;
    return E.left(this.createLookupRefusal(401, reason));
  }

  /**
   * Creates the refusal of an unknown route or key. An instance whose configuration may be out of
   * date can't tell that they don't exist, so it refuses as not ready.
   */
  private createLookupRefusal(status: number, reason: Reason): Refusal {
    if (this.parts.computeConfigAgeMs() > CONFIG_STALE_MS) {
      return createNotReadyRefusal("the configuration may be out of date");
    }
    const message = status === 404 ? "no route matches" : "the key is not known";
    return createNotRunRefusal(status, reason, message);
  }

  /** Charges the request to its workspace; returns true if the workspace is over its rate. */
  private async charge(
    head: RequestHead,
    workspace: FleetWorkspace | undefined,
  ): Promise<E.Either<Refusal, boolean>> {
    if (workspace === undefined) return E.right(false);
    const cost = computeCost(head, workspace);
    const decision = await this.parts.charger.admit(workspace.name, workspace.limit, cost);
    if (decision.isAdmitted) return E.right(decision.isOverRate);
    this.parts.logger.warn("over rate", {
      request: head.id,
      workspace: workspace.name,
      cost,
      left: Math.round(decision.levelBefore),
    });
    const message = "the workspace is over its rate";
    return E.left(createNotRunRefusal(429, Reason.overRate, message, decision.retryAfterMs));
  }
}

/**
 * Computes the cost of a request to its workspace: 1 if the workspace is limited in requests, else
 * the prompt and maximum output tokens, or the default cost if the size is unknown.
 *
 * @example
 * computeCost(head, workspace); // tokens, or 1
 */
export function computeCost(head: RequestHead, workspace: FleetWorkspace): number {
  if (workspace.unit === CostUnit.requests) return 1;
  if (head.size === undefined) return workspace.defaultCost;
  return head.size.promptTokens + head.size.maxOutputTokens;
}

function createNotReadyRefusal(message: string): Refusal {
  return createNotRunRefusal(503, Reason.notReady, message, NOT_READY_RETRY_AFTER_MS);
}
