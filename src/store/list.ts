/**
 * Reads the platform's list of live and leaving instances and endpoints. The list lags behind the
 * actual state.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import * as t from "io-ts";
import { decodeValue } from "../core/codec";
import type { BrokenAnswerListener } from "./brokenanswer";
import { createSender, type Sender } from "./http";

const CALL_TIMEOUT_MS = 2000;

const entryCodec = t.type({
  name: t.string,
  kind: t.keyof({ instance: null, endpoint: null }),
  dataCentre: t.string,
  /** Host and port for peers; empty for an endpoint. */
  address: t.string,
  state: t.keyof({ live: null, leaving: null }),
});

/** An instance or endpoint that the platform lists; one that has stopped is no longer listed. */
export type ListEntry = t.TypeOf<typeof entryCodec>;

const listCodec = t.type({ entries: t.array(entryCodec) });

/** A failed read of the list. */
export class ListError extends Error {
  override readonly name = "ListError";
}

/** Client of the platform's list. */
export interface InstanceList {
  read(): TE.TaskEither<ListError, readonly ListEntry[]>;
  close(): Promise<void>;
}

/** Client of the platform's list over HTTP. */
export class HttpInstanceList implements InstanceList {
  private readonly sender: Sender;

  /** @param onBroken - called with each answer that is broken */
  constructor(
    private readonly url: string,
    onBroken?: BrokenAnswerListener,
  ) {
    this.sender = createSender(onBroken);
  }

  read(): TE.TaskEither<ListError, readonly ListEntry[]> {
    return async () => {
      const url = `${this.url}/entries`;
      const result = await this.sender.sendJson({
        method: "GET",
        url,
        timeoutMs: CALL_TIMEOUT_MS,
      })();
      if (E.isLeft(result)) return E.left(new ListError(result.left.message));
      const { status } = result.right;
      if (status !== 200) return E.left(new ListError(`the list answered ${status}`));
      const decoded = decodeValue(listCodec, result.right.body, "instance list");
      if (E.isLeft(decoded)) return E.left(new ListError(decoded.left.message));
      return E.right(decoded.right.entries);
    };
  }

  close(): Promise<void> {
    return this.sender.close();
  }
}
