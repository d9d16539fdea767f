/**
 * An HTTP client to one real endpoint, with a direct way that may be cut and peers that open real connections.
 */
import * as E from "fp-ts/Either";
import { MonotonicClock, pause } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import type { RegionRule, Regions } from "../../src/fleet/regions";
import type { ReplicaCandidate } from "../../src/fleet/replicas";
import {
  HttpEndpointClient,
  type OpenResponse,
  type SendFailure,
} from "../../src/forward/endpoints/client";
import { Dialer } from "../../src/forward/tunnels/dialer";
import { type DirectOpener, TcpOpener } from "../../src/forward/tunnels/directopener";
import type { EndpointTarget } from "../../src/forward/limits/gate";
import { type EndpointRequest, SendTask } from "../../src/forward/requests/messages";
import { PathTracker } from "../../src/forward/tunnels/paths";
import { type EndpointSocket, TunnelFailureKind } from "../../src/forward/tunnels/openers";
import { createEntry, testCodecs } from "./forward";
import { createGate } from "./gate";
import { createPeers, SOUND_LINK, WayState } from "./ways";

const CHECK_MS = 30;
const MAX_CONNECTIONS = 10;

/** A client, the state of its direct way, and the connections that it opened. */
export class ClientWays {
  readonly paths = new PathTracker(Math.random);
  readonly client: HttpEndpointClient;
  readonly dialer: Dialer;
  /** The state of the direct way for new connections; `hang` or `refuse`, else open. */
  direct: WayState = WayState.open;
  peers: readonly ReplicaCandidate[] = createPeers(2);
  readonly directSockets: EndpointSocket[] = [];
  readonly peerSockets: EndpointSocket[] = [];
  private readonly tcp = new TcpOpener();
  private requests = 0;

  /** @param regions - restricts requests to regions, where they name some */
  constructor(
    private readonly address: string,
    regions?: Regions,
  ) {
    const clock = new MonotonicClock();
    this.dialer = new Dialer({
      paths: this.paths,
      direct: this.createDirect(),
      tunnels: {
        open: (_, target, timeoutMs) => this.openTunnel(target, timeoutMs),
        close: () => undefined,
      },
      links: SOUND_LINK,
      clock,
      logger: SILENT_LOGGER,
      listener: {
        onWayLost: (target) => {
          this.client.onWayLost(target);
        },
        onWayBack: (target) => {
          this.client.onWayBack(target);
        },
        onWayUnknown: () => undefined,
      },
      listPeers: () => this.peers,
      findDataCentre: () => "nizwa",
      onConnection: () => undefined,
    });
    this.client = new HttpEndpointClient(
      testCodecs.endpointCodec,
      createGate(clock),
      this.dialer,
      clock,
      {
        computeMaxConnections: () => MAX_CONNECTIONS,
        onForeignAnswer: () => undefined,
        logger: SILENT_LOGGER,
        computeCheckMs: () => CHECK_MS,
        ...(regions === undefined ? {} : { regions }),
      },
    );
  }

  get target(): EndpointTarget {
    return createEntry("a", this.address);
  }

  send(
    signal: AbortSignal,
    allowedRegions?: RegionRule,
  ): Promise<E.Either<SendFailure, OpenResponse>> {
    this.requests += 1;
    const head = { id: `r${this.requests}`, method: "GET", target: "/once/1" };
    const send = {
      request: { head, route: { name: "once" }, body: Buffer.alloc(0), allowedRegions },
      endpoint: createEntry("a", this.address),
      task: SendTask.run,
      leftMs: 1000,
      cacheSource: undefined,
      hold: undefined,
      lastEventId: undefined,
      urgency: undefined,
      needsNewConnection: false,
    };
    return this.client.send(send as unknown as EndpointRequest, signal);
  }

  /** Sends a request and reads its answer to the end; returns the failure, if there is one. */
  async exchange(allowedRegions?: RegionRule): Promise<SendFailure | undefined> {
    const response = await this.send(AbortSignal.timeout(1000), allowedRegions);
    if (E.isLeft(response)) return response.left;
    response.right.body.resume();
    await new Promise((resolve) => response.right.body.once("end", resolve));
    return undefined;
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private createDirect(): DirectOpener {
    return {
      open: async (address, timeoutMs) => {
        if (this.direct === WayState.hang) {
          await pause(timeoutMs);
          return E.left(new Error("timeout"));
        }
        if (this.direct !== WayState.open) {
          return E.left(Object.assign(new Error(this.direct), { code: "ECONNRESET" }));
        }
        const opened = await this.tcp.open(address, timeoutMs);
        if (E.isRight(opened)) this.directSockets.push(opened.right);
        return opened;
      },
    };
  }

  private async openTunnel(
    { address }: EndpointTarget,
    timeoutMs: number,
  ): Promise<E.Either<TunnelFailureKind, EndpointSocket>> {
    const opened = await this.tcp.open(address, timeoutMs);
    if (E.isLeft(opened)) return E.left(TunnelFailureKind.refused);
    this.peerSockets.push(opened.right);
    return opened;
  }
}
