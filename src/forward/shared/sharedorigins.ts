/**
 * Shares the origins of streams with the instances that keep them, and asks these for the origin of a
 * stream that began elsewhere: a caller may come back to any instance, also after the first one died.
 */
import type { Clock } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import { chooseReplicas, type ReplicaCandidate } from "../../fleet/replicas";
import type { ConfirmedList } from "./listconfirmer";
import {
  isSameVersion,
  type NamedOrigin,
  type StreamName,
  type StreamOrigin,
  type StreamOrigins,
} from "./origins";

const REMEMBER_TIMEOUT_MS = 500;
/** How long a lookup may take, in milliseconds; the caller waits for it. */
const RECALL_TIMEOUT_MS = 150;
/** Number of instances in each data centre that are asked beside those that should know. */
const STANDBYS = 1;
/** Maximum number of origins in one message. */
const MAX_BATCH = 256;
/** Maximum number of origins that wait for one instance; it may be down. */
const MAX_WAITING = 1024;

/** An instance's answer to a lookup. */
export interface RecalledOrigin {
  /** Undefined if the instance does not know the stream. */
  readonly origin: StreamOrigin | undefined;
}

/** Calls to the instances that keep origins. */
export interface OriginTransport {
  /**
   * Has an instance keep origins; resolves with false if it did not answer.
   *
   * @param forStore - true if it is to write them to the store
   */
  remember(
    instance: string,
    origins: readonly NamedOrigin[],
    timeoutMs: number,
    forStore: boolean,
  ): Promise<boolean>;
  /** Asks an instance for an origin; undefined if it did not answer. */
  recall(
    instance: string,
    stream: StreamName,
    timeoutMs: number,
  ): Promise<RecalledOrigin | undefined>;
}

/** Where an origin was found. */
export const OriginSource = {
  here: "here",
  peer: "peer",
  /** The store's records. */
  store: "store",
  /** Nobody who answered knows it, but the service has had one version for longer than it lasts. */
  onlyVersion: "only version",
  /** No instance that answered knows it, and all did. */
  nowhere: "nowhere",
  /** No instance that answered knows it, and some did not. */
  unclear: "unclear",
} as const;
export type OriginSource = (typeof OriginSource)[keyof typeof OriginSource];

/** The result of a lookup. */
export interface FoundOrigin {
  /** Undefined if it was not found. */
  readonly origin: StreamOrigin | undefined;
  readonly source: OriginSource;
  /** The read of the list that proves that the service had one version. */
  readonly confirmed?: ConfirmedList;
  /** For how long it stays unclear, in milliseconds, where that is known. */
  readonly unclearForMs?: number;
}

/** Dependencies of shared origins. */
export interface SharedOriginParts {
  readonly instance: string;
  readonly origins: StreamOrigins;
  readonly transport: OriginTransport;
  /** Lists the live instances, including this one. */
  readonly listMembers: () => readonly ReplicaCandidate[];
  /** Has an origin written to the store where that is needed. */
  readonly publish: (named: NamedOrigin) => void;
  /** Has it written that the version of an origin is not known after all. */
  readonly publishUnknown: (named: NamedOrigin) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Records origins for the whole fleet, and finds them. */
export class SharedOrigins {
  /** Origins that wait until the message under way has arrived, by instance: to keep, and to store. */
  private readonly waiting = new Map<string, NamedOrigin[]>();
  private readonly waitingForStore = new Map<string, NamedOrigin[]>();

  constructor(private readonly parts: SharedOriginParts) {}

  /** Records an origin here, at the instances that keep it, and in the store where that is needed. */
  record(named: NamedOrigin): void {
    this.keep(named, this.chooseKeepers(named.stream, 0));
    this.parts.publish(named);
  }

  /**
   * Records that the version of an origin is not known after all: in the store, and at all instances, as none may go on
   * by the only version that the list names.
   */
  withdraw(named: NamedOrigin): void {
    const { listMembers, publishUnknown } = this.parts;
    const members = listMembers().map(({ instance }) => instance);
    this.keep(named, members);
    publishUnknown(named);
  }

  private keep(named: NamedOrigin, keepers: readonly string[]): void {
    const { instance: self, origins, clock } = this.parts;
    origins.record(named, clock.now());
    for (const instance of keepers) {
      if (instance !== self) this.queueFor(instance, named);
    }
  }

  /** Sends an origin to an instance that writes it to the store. */
  sendForStore(writer: string, named: NamedOrigin): void {
    this.queueFor(writer, named, true);
  }

  /**
   * Finds the origin of a stream, here or at the instances that may keep it. A caller may have begun
   * a stream anew under the same id at another instance, so a record here is compared with theirs,
   * unless this instance is told of all.
   */
  async find(stream: StreamName): Promise<FoundOrigin> {
    const { instance: self, origins, transport, clock } = this.parts;
    const known = origins.find(stream, clock.now());
    const isKeeper = this.chooseKeepers(stream, 0).includes(self);
    if (known !== undefined && isKeeper) return { origin: known, source: OriginSource.here };
    const asked = this.chooseKeepers(stream, STANDBYS)
      .filter((instance) => instance !== self)
      .map((instance) => transport.recall(instance, stream, RECALL_TIMEOUT_MS));
    return mergeAnswers(known, await Promise.all(asked));
  }

  private chooseKeepers({ request }: StreamName, standbys: number): readonly string[] {
    return chooseReplicas(request, this.parts.listMembers(), standbys);
  }

  private queueFor(instance: string, named: NamedOrigin, forStore = false): void {
    const queues = forStore ? this.waitingForStore : this.waiting;
    const waiting = queues.get(instance);
    if (waiting === undefined) {
      queues.set(instance, []);
      void this.sendBatches(instance, [named], forStore);
    } else if (waiting.length < MAX_WAITING) waiting.push(named);
    else this.parts.logger.warn("stream origin dropped", { instance, waiting: waiting.length });
  }

  private async sendBatches(
    instance: string,
    first: readonly NamedOrigin[],
    forStore: boolean,
  ): Promise<void> {
    const { transport, logger } = this.parts;
    const queues = forStore ? this.waitingForStore : this.waiting;
    let batch = first;
    while (batch.length > 0) {
      const origins = batch;
      await runTask("share origins", logger, async () => {
        const isKept = await transport.remember(instance, origins, REMEMBER_TIMEOUT_MS, forStore);
        if (isKept) return;
        logger.debug("stream origins not shared", { instance, origins: origins.length });
      });
      batch = queues.get(instance)?.splice(0, MAX_BATCH) ?? [];
    }
    queues.delete(instance);
  }
}

/** Merges what is known here with the answers of peers: where two versions are named, none is known. */
function mergeAnswers(
  known: StreamOrigin | undefined,
  answers: readonly (RecalledOrigin | undefined)[],
): FoundOrigin {
  const recalled = answers.flatMap((answer) => answer?.origin ?? []);
  const all = known === undefined ? recalled : [known, ...recalled];
  const [first] = all;
  if (first !== undefined) {
    const isClear = all.every((origin) => isSameVersion(origin, first));
    const source = known === undefined ? OriginSource.peer : OriginSource.here;
    return { origin: isClear ? first : { ...first, version: undefined }, source };
  }
  const hasSilent = answers.some((answer) => answer === undefined);
  return { origin: undefined, source: hasSilent ? OriginSource.unclear : OriginSource.nowhere };
}
