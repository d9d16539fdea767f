/**
 * Releases holds and KV caches that engines keep for this instance. While an engine has asked for a
 * pause or its limit is used up, its releases wait: a release is a request like any other. One that
 * can't be sent before the engine drops the memory by itself is not sent at all, and neither is one
 * for a process that is gone: at its address, the same name may mean the memory of another request.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import type { EndpointDirectory } from "../../fleet/directory";
import type { EndpointEntry } from "../../fleet/entries";
import { type EndpointClient, SendFailureKind } from "./client";
import type { EndpointGate } from "../limits";
import type { EndpointCall } from "../requests";

const RELEASE_TIMEOUT_MS = 500;

/** A call that frees memory at an engine. */
export interface Release {
  /** The engine, as it was listed when it gave the memory. */
  readonly target: EndpointEntry;
  readonly call: EndpointCall;
  /** When the engine frees the memory by itself. */
  readonly expiresAt: Moment;
  /** Sends that it takes from the engine's limit; none where they were acquired with the memory. */
  readonly permits: number;
}

/** Dependencies of a releaser. */
export interface ReleaserParts {
  readonly client: EndpointClient;
  readonly gate: EndpointGate;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Sends releases, once their engine takes them. */
export class Releaser {
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly parts: ReleaserParts) {}

  /** Sends a release in the background; logs one that fails or is not sent. */
  release(release: Release): void {
    const { client, gate, directory, clock, logger } = this.parts;
    const { target, call, expiresAt, permits } = release;
    if (!directory.isListedProcess(target)) {
      const error = "the engine's process is gone";
      logger.debug("memory not released", { engine: target.id, path: call.path, error });
      return;
    }
    const holdEnd = permits === 0 ? gate.readPauseEnd(target.id) : gate.readHoldEnd(target.id);
    if (holdEnd !== undefined) {
      this.sendLater(release, holdEnd);
      return;
    }
    if (clock.now() >= expiresAt) return;
    void runTask("release memory", logger, async () => {
      const response = await client.call(target, call, RELEASE_TIMEOUT_MS, permits);
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

  private sendLater(release: Release, holdEnd: Moment): void {
    if (holdEnd >= release.expiresAt) {
      this.logFailure(release, "the engine frees it before it takes the release");
      return;
    }
    const timer = setTimeout(
      () => {
        this.timers.delete(timer);
        void runTask("release memory", this.parts.logger, () => {
          this.release(release);
        });
      },
      Math.ceil(holdEnd - this.parts.clock.now()),
    );
    this.timers.add(timer);
  }

  private logFailure({ target, call }: Release, error: string): void {
    this.parts.logger.warn("memory not released", { engine: target.id, path: call.path, error });
  }
}
