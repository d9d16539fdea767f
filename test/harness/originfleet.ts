/**
 * A fleet of instances in virtual time that begin streams and are asked to go on with them.
 */
import { SILENT_LOGGER } from "../../src/core/log";
import { answerRecall, keepOrigins } from "../../src/forward/shared/originpeer";
import {
  type NamedOrigin,
  type StreamName,
  type StreamOrigin,
  StreamOrigins,
} from "../../src/forward/shared/origins";
import {
  type FoundOrigin,
  type OriginTransport,
  SharedOrigins,
} from "../../src/forward/shared/sharedorigins";
import { VirtualFleet, type VirtualNode } from "./virtualfleet";

const DATA_CENTRES = ["nizwa", "bahla", "izki"];

interface OriginParts {
  readonly origins: StreamOrigins;
  readonly shared: SharedOrigins;
  /** Origins of unknown version that the instance was told of. */
  readonly unknown: StreamOrigin[];
}

type OriginNode = VirtualNode<OriginParts>;

/** A stream that a caller took up again, and what was found of it. */
export interface TakenUpStream {
  readonly name: StreamName;
  readonly version: string;
  readonly found: FoundOrigin;
}

/** A simulated fleet. */
export class OriginFleet extends VirtualFleet<OriginParts> {
  readonly takenUp: TakenUpStream[] = [];
  /** Number of messages between instances. */
  messages = 0;
  private streams = 0;

  constructor(size: number, seed: number) {
    super(size, seed, DATA_CENTRES);
    this.startNodes();
  }

  /** Index of an instance of the same data centre that is up, drawn at random. */
  drawInstance(dataCentre: number): number {
    const up = this.nodes.flatMap((node, index) =>
      !node.isDown && index % DATA_CENTRES.length === dataCentre ? [index] : [],
    );
    return up[Math.floor(this.draw() * up.length)] ?? 0;
  }

  isDown(index: number): boolean {
    return this.nodes[index]?.isDown ?? true;
  }

  /**
   * Begins a stream at an instance; returns its name.
   *
   * @param name - a new one if not given
   */
  begin(index: number, version: string, name = this.createName()): StreamName {
    const node = this.nodes[index];
    if (node === undefined || node.isDown) return name;
    const origin = this.createOrigin(version);
    this.act(node, () => {
      node.parts.shared.record({ stream: name, origin });
    });
    return name;
  }

  /** An instance finds out that a process of unknown version began a stream. */
  withdraw(index: number, name: StreamName): void {
    const node = this.nodes[index];
    if (node === undefined || node.isDown) return;
    const origin = this.createOrigin(undefined);
    this.act(node, () => {
      node.parts.shared.withdraw({ stream: name, origin });
    });
  }

  /** Counts the instances that were told that a process of unknown version was at a service. */
  countTold(service: string): number {
    const isTold = ({ parts }: OriginNode) => parts.unknown.some((one) => one.service === service);
    return this.nodes.filter(isTold).length;
  }

  private createOrigin(version: string | undefined): StreamOrigin {
    const service = "models";
    return { service, version, endpoint: "d1", processStartedAt: 1, beganAt: this.now };
  }

  /** Has a caller take up a stream at an instance. */
  takeUp(index: number, name: StreamName, version: string): void {
    const node = this.nodes[index];
    if (node === undefined || node.isDown) return;
    this.act(node, () => {
      void node.parts.shared.find(name).then((found) => {
        this.takenUp.push({ name, version, found });
      });
    });
  }

  /** Cuts a data centre off from the others, or ends that. */
  cutDataCentre(dataCentre: number, group: number): void {
    for (const index of this.nodes.keys()) {
      if (index % DATA_CENTRES.length === dataCentre) this.cut(index, group);
    }
  }

  private createName(): StreamName {
    this.streams += 1;
    return { workspace: "walls", request: `s${this.streams}` };
  }

  protected createParts({ name, members }: OriginNode): OriginParts {
    const unknown: StreamOrigin[] = [];
    const origins = new StreamOrigins((origin) => unknown.push(origin));
    const shared = new SharedOrigins({
      instance: name,
      origins,
      transport: this.createTransport(name),
      publish: () => undefined,
      publishUnknown: () => undefined,
      listMembers: () => members.listLiveMembers(this.now),
      clock: this.events.clock,
      logger: SILENT_LOGGER,
    });
    return { origins, shared, unknown };
  }

  protected createBeat(): () => void {
    return () => undefined;
  }

  private createTransport(from: string): OriginTransport {
    return {
      remember: async (instance, origins: readonly NamedOrigin[], timeoutMs) => {
        this.messages += 1;
        const request = {
          origins: origins.map(({ stream, origin }) => ({ stream, origin })),
          forStore: false,
        };
        const isKept = await this.callNode(
          this.findNode(from),
          instance,
          timeoutMs,
          ({ parts }) => {
            keepOrigins(parts.origins, request, this.now, () => undefined);
            return true;
          },
        );
        return isKept ?? false;
      },
      recall: async (instance, stream, timeoutMs) => {
        this.messages += 1;
        return this.callNode(this.findNode(from), instance, timeoutMs, ({ parts }) => {
          const { origin } = answerRecall(parts.origins, { stream }, this.now);
          return { origin: origin && { ...origin, version: origin.version } };
        });
      },
    };
  }
}
