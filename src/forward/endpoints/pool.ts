/**
 * Connections to one endpoint, and which exchange may go on which of them: every answer must be told
 * from a late copy of an earlier one. Requests share kept-alive connections, as their answers name
 * them, but none goes twice on one connection. A call of the router's own, whose answer names
 * nothing, has a connection of its own.
 */
import type { Clock } from "../../core/clock";
import { Connection } from "./connection";
import { type DialOptions, type EndpointDialer, isSameProcess } from "../tunnels";
import type { EndpointTarget } from "../limits";

/** The way of a connection. */
export const ConnectionWay = {
  direct: "direct",
  /** Opened by a peer. */
  peer: "peer",
} as const;
export type ConnectionWay = (typeof ConnectionWay)[keyof typeof ConnectionWay];

/** Connections kept to an endpoint before a maximum is known. */
const DEFAULT_MAX_CONNECTIONS = 8;

/** A request that needs a connection. */
export interface PooledRequest {
  readonly id: string;
  readonly needsNewConnection: boolean;
  /** How many connections this instance may open to the endpoint. */
  readonly maxConnections: number;
  /** Checks whether a peer may carry the request; all may if undefined. */
  readonly mayUsePeer?: ((peer: string) => boolean) | undefined;
}

/** The connections to one endpoint. */
export class ConnectionPool {
  private idle: Connection[] = [];
  /** In use by requests. */
  private readonly busy = new Set<Connection>();
  /** In use by calls of the router's own, which take no connection from requests. */
  private readonly calls = new Set<Connection>();
  private maxConnections = DEFAULT_MAX_CONNECTIONS;

  constructor(
    private target: EndpointTarget,
    private readonly dialer: EndpointDialer,
    private readonly clock: Clock,
  ) {}

  /** Sets the process that new connections are for; those kept to an earlier one are closed. */
  setTarget(target: EndpointTarget): void {
    if (isSameProcess(this.target, target)) return;
    this.target = target;
    this.closeIdle();
  }

  /** True if it has no connection, so that it can be forgotten. */
  get isEmpty(): boolean {
    return this.idle.length + this.busy.size + this.calls.size === 0;
  }

  /**
   * Takes a connection for a request: the idle one that was used last, as it is the likeliest to be
   * alive, unless it has carried the same request; or opens one.
   *
   * @returns undefined if the maximum is in use
   */
  acquireForRequest(request: PooledRequest): Connection | undefined {
    this.maxConnections = request.maxConnections;
    const kept = request.needsNewConnection ? undefined : this.takeIdle(request);
    if (kept === undefined && this.busy.size >= this.maxConnections) return undefined;
    const connection = kept ?? this.open({ isDirectOnly: false, mayUsePeer: request.mayUsePeer });
    connection.recordRequest(request.id, request.mayUsePeer);
    this.busy.add(connection);
    this.closeSurplus();
    return connection;
  }

  /**
   * Opens a connection of its own for a call of the router's own; it is discarded after it.
   *
   * @param options - which ways it may take
   */
  openForCall(options: DialOptions = { isDirectOnly: false }): Connection {
    const connection = this.open(options);
    this.calls.add(connection);
    this.closeSurplus();
    return connection;
  }

  /** Takes back a connection whose answer was read to its end. */
  release(connection: Connection): void {
    if (!this.busy.delete(connection)) return;
    if (!connection.isReusable || !this.canReuse(connection)) {
      connection.close();
      return;
    }
    connection.idleSince = this.clock.now();
    this.idle.push(connection);
    this.closeSurplus();
  }

  /** Closes a connection that failed, or whose answer was not read to its end. */
  discard(connection: Connection): void {
    this.busy.delete(connection);
    this.calls.delete(connection);
    connection.close();
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) connection.close();
  }

  /** Closes the idle connections of one way. */
  closeIdleOf(way: ConnectionWay): void {
    const isOfWay = ({ peer }: Connection) =>
      (peer === undefined) === (way === ConnectionWay.direct);
    for (const connection of this.idle) if (isOfWay(connection)) connection.close();
    this.idle = this.idle.filter((connection) => !isOfWay(connection));
  }

  /** Forgets idle connections that the endpoint closed. */
  removeClosed(): void {
    for (const connection of this.idle) if (!connection.isAlive) connection.close();
    this.idle = this.idle.filter((connection) => connection.isAlive);
  }

  /** Closes all connections, also those with an exchange in flight. */
  close(): void {
    this.closeIdle();
    for (const connection of [...this.busy, ...this.calls]) connection.close();
  }

  private open(options: DialOptions): Connection {
    const connection = new Connection(this.target, this.dialer, options, this.clock);
    connection.onLeaving = () => {
      if (!this.idle.includes(connection)) return;
      this.idle = this.idle.filter((other) => other !== connection);
      connection.close();
    };
    return connection;
  }

  private canReuse({ peer }: Connection): boolean {
    return peer === undefined || this.dialer.canReuse(this.target, peer);
  }

  private takeIdle({ id, mayUsePeer }: PooledRequest): Connection | undefined {
    this.removeClosed();
    const index = this.idle.findLastIndex(
      (connection) =>
        !connection.hasCarried(id) &&
        this.canReuse(connection) &&
        (connection.peer === undefined || mayUsePeer?.(connection.peer) !== false),
    );
    if (index < 0) return undefined;
    return this.idle.splice(index, 1)[0];
  }

  /** Closes the connections that are idle the longest, so that all together keep the maximum. */
  private closeSurplus(): void {
    const maxIdle = Math.max(0, this.maxConnections - this.busy.size - this.calls.size);
    while (this.idle.length > maxIdle) this.idle.shift()?.close();
  }
}
