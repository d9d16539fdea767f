/**
 * A connection to an endpoint that a peer has opened, as a socket. Bytes, the ends of both
 * directions and a broken connection pass through as over TCP.
 */
import { constants } from "node:os";
import { Duplex } from "node:stream";
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { BodyEnd, classifyBodyEnd } from "../../core/bodyend";
import { ConnectionEnder, readConnectionEnder } from "../../core/connectionender";
import type { TunnelData } from "../../peer/gen/fleet";
import { ConnectionCutError, LateCut } from "../../store/cut";
import { encodeBytes, END_MESSAGE } from "./wire";
import { type EndpointSocket, LEAVING_EVENT } from "./openers";

/** A call whose messages are the bytes of one connection. */
export type TunnelCall = ClientDuplexStream<TunnelData, TunnelData>;

/** A tunnel that broke: the endpoint reset its connection, or the peer is gone. */
export class TunnelResetError extends Error {
  override readonly name = "TunnelResetError";
  readonly code = "ECONNRESET";
  /** As the operating system numbers it for a TCP socket, which tells a broken one by it. */
  readonly errno = -constants.errno.ECONNRESET;
}

interface WrittenChunk {
  readonly chunk: Buffer;
}

/** How long a peer may take to close a tunnel before its call is cancelled, in milliseconds. */
const CLOSE_TIMEOUT_MS = 50;

type WriteCallback = (error?: Error | null) => void;

/** The client's side of a tunnel. Destroying it ends the call. */
export class TunnelSocket extends Duplex implements EndpointSocket {
  private receivedBytes = 0;
  private sentBytes = 0;
  /** Bytes of the write that is under way; more may wait behind it. */
  private pendingBytes = 0;
  private isEndChecked = false;
  private readonly lateCut = new LateCut(this);
  private hasEndpointEnd = false;
  private hasStatus = false;
  private ender: ConnectionEnder | undefined;
  /** True once the peer is told to stop. */
  isLeaving = false;

  /** @param call - a call on which the peer has said that the connection is open */
  constructor(private readonly call: TunnelCall) {
    super({ allowHalfOpen: false });
    // It may break before its new owner listens, and an error that nobody hears ends the process.
    this.on("error", () => undefined);
    call.on("data", (message: TunnelData) => {
      this.receive(message);
    });
    call.on("status", () => {
      this.hasStatus = true;
    });
    call.on("end", () => {
      this.receiveCallEnd();
    });
    call.on("error", (error) => {
      this.breakOff(error.message);
    });
    // Like a TCP socket, it reads ahead, and so finds that it broke before anyone reads.
    this.read(0);
  }

  /** Number of bytes that arrived, read or not. */
  get bytesRead(): number {
    return this.receivedBytes;
  }

  /** Who ended the connection, as the peer says; undefined before its end. */
  get endedBy(): ConnectionEnder | undefined {
    return this.ender;
  }

  /**
   * Has it fail from now on where it broke, or where the endpoint ended before it had taken what was
   * sent: such an end does not prove that an answer is whole.
   */
  checkAnswers(): void {
    this.isEndChecked = true;
  }

  /** Has no effect; a TCP socket has it. */
  ref(): this {
    return this;
  }

  /** Has no effect; a TCP socket has it. */
  unref(): this {
    return this;
  }

  /** Has no effect; a TCP socket has it. */
  setNoDelay(): this {
    return this;
  }

  /** Has no effect: the connection between the instances is checked instead. */
  setKeepAlive(): this {
    return this;
  }

  /** Has no effect; a TCP socket has it. */
  setTimeout(): this {
    return this;
  }

  /** Reads; once all that came before a cut was read, the socket fails. */
  override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    this.lateCut.check();
    return chunk;
  }

  override _read(): void {
    this.call.resume();
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, callback: WriteCallback): void {
    this.sentBytes += chunk.length;
    this.pendingBytes = chunk.length;
    const onWritten: WriteCallback = (error) => {
      this.pendingBytes = 0;
      callback(error);
    };
    const messages = encodeBytes(chunk);
    messages.forEach((message, index) => {
      if (index === messages.length - 1) this.call.write(message, onWritten);
      else this.call.write(message);
    });
  }

  override _writev(chunks: readonly WrittenChunk[], callback: WriteCallback): void {
    this._write(Buffer.concat(chunks.map(({ chunk }) => chunk)), "binary", callback);
  }

  override _final(callback: WriteCallback): void {
    this.call.write(END_MESSAGE, callback);
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    // After both ends, the peer may still have bytes to write to the endpoint.
    const isComplete = error === null && this.hasEndpointEnd && this.writableFinished;
    if (!isComplete) this.leave();
    this.call.resume();
    callback(error);
  }

  /**
   * Has the peer close the connection at once. It ends the call where it can: HTTP/2 servers close
   * the whole channel where many calls are cancelled on it.
   */
  private leave(): void {
    if (this.hasStatus) return;
    if (this.call.writableLength > 0) {
      this.call.cancel();
      return;
    }
    const timer = setTimeout(() => {
      this.call.cancel();
    }, CLOSE_TIMEOUT_MS);
    this.call.once("status", () => {
      clearTimeout(timer);
    });
    this.call.end();
  }

  private receive({ data, end, takenBytes, endedBy, leaving }: TunnelData): void {
    if (this.destroyed || this.hasEndpointEnd) return;
    if (leaving) {
      this.isLeaving = true;
      this.emit(LEAVING_EVENT);
    }
    if (data.length > 0) {
      this.receivedBytes += data.length;
      if (!this.push(data)) this.call.pause();
    }
    if (end || endedBy !== "") this.ender = readConnectionEnder(endedBy);
    if (end) this.receiveEnd(takenBytes);
    else if (this.ender === ConnectionEnder.relay) this.breakOff("the peer has stopped");
  }

  /** @param takenBytes - what the endpoint took before; undefined if the peer doesn't tell */
  private receiveEnd(takenBytes = this.sentBytes): void {
    this.hasEndpointEnd = true;
    // The peer has asked its socket: of one that was reset it reports no end.
    const waitingBytes = this.writableLength - this.pendingBytes;
    const untakenBytes = this.sentBytes - takenBytes + waitingBytes;
    const { ender: endedBy = ConnectionEnder.nobody } = this;
    const end = classifyBodyEnd({ hasPeer: true, isClosedHere: false, untakenBytes, endedBy });
    if (end === BodyEnd.whole || !this.isEndChecked) this.push(null);
    else this.lateCut.set(this.createCut(end, untakenBytes));
  }

  private receiveCallEnd(): void {
    if (!this.hasEndpointEnd) this.breakOff("the endpoint reset the connection");
  }

  private breakOff(cause: string): void {
    if (this.destroyed) return;
    const error = new TunnelResetError(`tunnel broken: ${cause}`);
    this.destroy(this.isEndChecked ? this.createCut(BodyEnd.reset, 0, error) : error);
  }

  private createCut(reason: BodyEnd, untakenBytes: number, cause?: Error): ConnectionCutError {
    const { receivedBytes, sentBytes: requestBytes } = this;
    return new ConnectionCutError({ reason, receivedBytes, requestBytes, untakenBytes }, cause);
  }
}
