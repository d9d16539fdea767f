/**
 * Releases holds and KV caches that engines keep for this instance. While an engine has asked for a
 * pause, its releases wait: a release is a request like any other. One that can't be sent before
 * the engine drops the memory by itself is not sent at all.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { type EndpointClient, SendFailureKind } from "./client";
import type { EndpointGate, EndpointTarget } from "./gate";
import type { EndpointCall } from "./messages";

const RELEASE_TIMEOUT_MS = 500;

/** A call that frees memory at an engine. */
export interface Release {
  readonly target: EndpointTarget;
  readonly call: EndpointCall;
  /** When the engine frees the memory by itself. */
  readonly expiresAt: Moment;
}

/** Sends releases, after the pause of their engine if it has asked for one. */
export class Releaser {
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly client: EndpointClient,
    private readonly gate: EndpointGate,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Sends a release in the background; logs one that fails or is not sent. */
  release(release: Release): void {
    const { target, call, expiresAt } = release;
    const pauseEnd = this.gate.readPauseEnd(target.id);
    if (pauseEnd !== undefined) {
      this.sendAfterPause(release, pauseEnd);
      return;
    }
    if (this.clock.now() >= expiresAt) return;
    void this.client.call(target, call, RELEASE_TIMEOUT_MS).then((response) => {
      if (E.isRight(response)) return;
      if (response.left.kind === SendFailureKind.held) this.release(release);
      else this.logFailure(release, response.left.message);
    });
  }

  /** Drops the releases that still wait; their memory is freed at its expiry. */
  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private sendAfterPause(release: Release, pauseEnd: Moment): void {
    if (pauseEnd >= release.expiresAt) {
      this.logFailure(release, "the engine frees it before its pause ends");
      return;
    }
    const timer = setTimeout(
      () => {
        this.timers.delete(timer);
        this.release(release);
      },
      Math.ceil(pauseEnd - this.clock.now()),
    );
    this.timers.add(timer);
  }

  private logFailure({ target, call }: Release, error: string): void {
    this.logger.warn("memory not released", { engine: target.id, path: call.path, error });
  }
}
