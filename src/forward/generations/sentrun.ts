/**
 * One run of a generation at a decode engine, from its send to its end.
 */
import * as E from "fp-ts/Either";
import type { Moment } from "../../core/clock";
import { ReadFirstTimer } from "../../core/readfirst";
import type { EndpointEntry } from "../../fleet/entries";
import type { CacheSource, DeadlineSignal } from "../requests";
import type { OpenResponse, ProcessState, SendFailure } from "../endpoints";
import type { Reservation } from "../engines";
import type { StreamForm } from "./streamform";

/** A decode engine that has reserved memory for a generation. */
export interface PreparedEngine {
  readonly reservation: Reservation;
  /** The engine that has read the prompt; undefined if the decode engine reads it itself. */
  readonly source: CacheSource | undefined;
}

/** A try at an engine, up to the send of its run. */
export interface TryStart {
  readonly engine: PreparedEngine;
  /** When its memory was reserved. */
  readonly startedAt: Moment;
  /** When the prompt was read, or was left to the decode engine. */
  readonly prefilledAt: Moment;
  /** Fires when the caller leaves or the deadline passes; closed with the try. */
  readonly deadlineSignal: DeadlineSignal;
  /** What the engine said of its process; undefined for a run that goes on with no stream. */
  readonly processState: ProcessState | undefined;
}

/** What has come of a run after some time. */
export const HeadState = {
  /** The head of a stream. */
  stream: "stream",
  /** An answer or a failure after which this run writes no event. */
  failed: "failed",
  none: "none",
} as const;
export type HeadState = (typeof HeadState)[keyof typeof HeadState];

/** A run that was sent; its response waits to be read. */
export class SentRun {
  /** True once the head of its response has arrived. */
  hasHead = false;

  /**
   * @param form - tells whether its response is one of the stream
   * @param controller - aborts the send, and the response after it
   * @param opened - resolves once the head of the response has arrived, or with the failure
   */
  constructor(
    readonly start: TryStart,
    private readonly form: StreamForm,
    private readonly controller: AbortController,
    readonly opened: Promise<E.Either<SendFailure, OpenResponse>>,
  ) {
    void opened.then((result) => {
      this.hasHead = E.isRight(result);
    });
  }

  get endpoint(): EndpointEntry {
    return this.start.engine.reservation.endpoint;
  }

  /** Ends the run: closes its connection. */
  abort(): void {
    this.controller.abort();
  }

  /**
   * Waits for the head of its response.
   *
   * @param timeoutMs - how long at most, in milliseconds; sockets are read once more after it
   */
  waitForHead(timeoutMs: number): Promise<HeadState> {
    return new Promise((resolve) => {
      const timer = new ReadFirstTimer(timeoutMs, () => {
        resolve(HeadState.none);
      });
      void this.opened.then((opened) => {
        timer.close();
        const hasStream = E.isRight(opened) && this.form.matches(opened.right.head);
        resolve(hasStream ? HeadState.stream : HeadState.failed);
      });
    });
  }
}
