/**
 * Brings the endpoints of the data centre into the state that the configuration asks for: which
 * role they play and which models they have loaded. Orders name the wanted state, carry the fencing
 * number, and are read back from the endpoint's report.
 */
import * as E from "fp-ts/Either";
import type { Blackboard, EndpointView } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { type Endpoint, Role } from "../core/config";
import type { Logger } from "../core/log";
import type { EngineClient } from "../endpoint/engine";
import { isEndpointLeaving } from "./listpoller";
import type { InstanceIdentity } from "./membership";
import { LEASE_MARGIN_MS, LEASE_MS, type DutyElector } from "./elector";

const CHECK_MS = 500;
/** The longest that an order may be under way. */
const ORDER_MS = 2000;
/** How long to wait before the same order is given again. */
const REPEAT_MS = 3000;

/** Gives orders while this instance has the controller's lease. */
export class EndpointController {
  private timer: NodeJS.Timeout | undefined;
  private readonly ordered = new Map<string, Moment>();
  /** The first fence of this lease without a break, and when it was first usable here. */
  private tenure: { usableFrom: Moment; lastFenceAt: Moment } | undefined;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly dutyElector: DutyElector,
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const fence = this.dutyElector.readFencingToken();
    const now = this.clock.now();
    if (fence === undefined) {
      this.tenure = undefined;
      return;
    }
    this.tenure = { usableFrom: this.tenure?.usableFrom ?? now, lastFenceAt: now };
    const { endpoints } = this.board.config.read().configuration;
    for (const [name, endpoint] of Object.entries(endpoints)) {
      if (endpoint.dataCentre !== this.self.dataCentre || endpoint.role === Role.service) continue;
      const view = this.board.endpoints.get(name);
      if (view === undefined || isEndpointLeaving(this.board, name, now)) continue;
      if (!isWanted(endpoint, view)) void this.order(name, endpoint);
    }
  }

  private async order(name: string, endpoint: Endpoint): Promise<void> {
    const now = this.clock.now();
    if (now < (this.ordered.get(name) ?? 0) || !this.isSafe(endpoint, now)) return;
    this.ordered.set(name, now + REPEAT_MS);
    // Read in the turn of the sending: a pause before it leaves no fence to send with.
    const fence = this.dutyElector.readFencingToken();
    if (fence === undefined) return;
    const models = endpoint.models ?? [];
    const result = await this.engines.sendOrder(endpoint.url, {
      fence,
      role: endpoint.role,
      models,
    })();
    const outcome = E.isRight(result) ? "taken" : result.left.message;
    this.logger.info("order", { endpoint: name, role: endpoint.role, models, fence, outcome });
  }

  /**
   * An endpoint that does not check fencing numbers gets orders only when an order of the
   * controller before can no longer be under way.
   */
  private isSafe(endpoint: Endpoint, now: Moment): boolean {
    if (endpoint.checksFence === true) return true;
    const wait = LEASE_MS + LEASE_MARGIN_MS + ORDER_MS;
    return this.tenure !== undefined && now - this.tenure.usableFrom >= wait;
  }
}

function isWanted(endpoint: Endpoint, view: EndpointView): boolean {
  if (view.role !== endpoint.role) return false;
  return (endpoint.models ?? []).every((model) => view.models.includes(model));
}
