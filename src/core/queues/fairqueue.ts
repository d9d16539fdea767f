/**
 * Start-time fair queueing in two bands: fair by tokens across workspaces, and weighted by priority
 * class. Requests that can still meet their target come before those that cannot. Flows of a higher
 * precedence come before all others, however late they are and whatever was served before.
 */
import type { Moment } from "../clock";
import type { QueuedRequest, RequestQueue } from "./queue";

/** Which flows go before others; the lowest first. */
export const Precedence = { suspect: 0, resumed: 1, usual: 2 } as const;
export type Precedence = (typeof Precedence)[keyof typeof Precedence];

/** A request as the fair queue sees it. */
export interface FairQueueItem extends QueuedRequest {
  readonly workspace: string;
  readonly priorityClass: string;
  /** Weight of the priority class. */
  readonly weight: number;
  /** The same for all requests of a priority class. */
  readonly precedence: Precedence;
  /** Cost in tokens. */
  readonly cost: number;
}

interface Flow<W extends FairQueueItem> {
  readonly waiting: W[];
  /** Start tag: the virtual time at which the flow's next request starts. */
  startTag: number;
}

/** A start-time fair queue with a flow for each pair of priority class and workspace. */
export class FairQueue<W extends FairQueueItem> implements RequestQueue<W> {
  private readonly flows = new Map<string, Flow<W>>();
  /** By request: the name of its flow. */
  private readonly flowNames = new Map<string, string>();
  private virtualTime = 0;

  get size(): number {
    return this.flowNames.size;
  }

  push(item: W): void {
    const flowName = `${item.priorityClass}\0${item.workspace}`;
    let flow = this.flows.get(flowName);
    if (flow === undefined) {
      flow = { waiting: [], startTag: this.virtualTime };
      this.flows.set(flowName, flow);
    }
    if (flow.waiting.length === 0) flow.startTag = Math.max(flow.startTag, this.virtualTime);
    flow.waiting.push(item);
    this.flowNames.set(item.id, flowName);
  }

  listHeads(now: Moment): readonly W[] {
    const heads: { item: W; startTag: number; isLate: boolean }[] = [];
    for (const flow of this.flows.values()) {
      const onTime = flow.waiting.find((item) => item.targetDeadline > now);
      const item = onTime ?? flow.waiting[0];
      if (item === undefined) continue;
      heads.push({ item, startTag: flow.startTag, isLate: onTime === undefined });
    }
    heads.sort(
      (a, b) =>
        a.item.precedence - b.item.precedence ||
        Number(a.isLate) - Number(b.isLate) ||
        a.startTag - b.startTag,
    );
    return heads.map((head) => head.item);
  }

  dequeue(id: string): W | undefined {
    const flowName = this.flowNames.get(id);
    const item = this.remove(id);
    const flow = flowName === undefined ? undefined : this.flows.get(flowName);
    if (item === undefined || flow === undefined) return item;
    this.virtualTime = Math.max(this.virtualTime, flow.startTag);
    flow.startTag += item.cost / item.weight;
    return item;
  }

  remove(id: string): W | undefined {
    const flowName = this.flowNames.get(id);
    const flow = flowName === undefined ? undefined : this.flows.get(flowName);
    if (flow === undefined) return undefined;
    this.flowNames.delete(id);
    const index = flow.waiting.findIndex((item) => item.id === id);
    return flow.waiting.splice(index, 1)[0];
  }

  removeExpired(now: Moment): readonly W[] {
    const expired: W[] = [];
    for (const [flowName, flow] of this.flows) {
      const expiredInFlow = flow.waiting.filter((item) => item.deadline <= now);
      for (const item of expiredInFlow) this.remove(item.id);
      expired.push(...expiredInFlow);
      if (flow.waiting.length === 0 && flow.startTag <= this.virtualTime)
        this.flows.delete(flowName);
    }
    return expired;
  }
}
