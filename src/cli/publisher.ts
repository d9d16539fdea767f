/**
 * Publishes changes of the configuration through the platform's log, and finds out what became of
 * them by reading the log back.
 */
import { pause } from "../core/clock";
import { randomUUID } from "node:crypto";
import * as E from "fp-ts/Either";
import type { Configuration } from "../core/config";
import { ControlFold } from "../core/controlfold";
import { applyChanges, type Change, type ConfigRecord, type ConfigState } from "../core/configfold";
import { HttpLogClient, type LogClient, StreamName } from "../store/log";
import { Exit, type ExitCode } from "./exit";

const APPEND_ATTEMPTS = 4;
const READ_BACK_ATTEMPTS = 10;
const PAUSE_MS = 150;
const REBASE_ATTEMPTS = 8;

/** A command that did not do what it was asked to. */
export class CommandError extends Error {
  override readonly name = "CommandError";

  constructor(
    readonly exit: ExitCode,
    message: string,
  ) {
    super(message);
  }
}

/** An accepted change. */
export interface Published {
  readonly version: number;
  readonly changes: number;
}

/** Reads and changes the configuration. */
export class Publisher {
  private readonly log: LogClient;

  constructor(url: string) {
    this.log = new HttpLogClient(url);
  }

  /** Reads the configuration in force. */
  async read(): Promise<E.Either<CommandError, ConfigState>> {
    const fold = new ControlFold();
    const failed = await this.readOn(fold, () => undefined);
    if (failed !== undefined) return E.left(failed);
    if (fold.isIncomplete) {
      return E.left(
        new CommandError(Exit.unreachable, "the log holds no snapshot of what it has forgotten"),
      );
    }
    return E.right(fold.state);
  }

  /**
   * Publishes changes that were worked out from a version; another operator's change in between
   * makes them fail.
   */
  async publish(
    state: ConfigState,
    changes: readonly Change[],
  ): Promise<E.Either<CommandError, Published>> {
    if (changes.length === 0) return E.right({ version: state.version, changes: 0 });
    const checked = applyChanges(state.configuration, changes, "configuration");
    if (E.isLeft(checked)) return E.left(new CommandError(Exit.invalid, checked.left.message));
    const record: ConfigRecord = {
      id: randomUUID(),
      basedOn: state.version,
      changes: [...changes],
    };
    for (let attempt = 0; attempt < APPEND_ATTEMPTS; attempt += 1) {
      // The same record again is harmless: it is based on a version that is then past.
      await this.log.append(StreamName.control, [record])();
      const verdict = await this.readVerdict(record);
      if (verdict !== undefined) return verdict;
    }
    return E.left(
      new CommandError(Exit.unknown, "not known: the log does not answer; run the command again"),
    );
  }

  /** Publishes a change that does not depend on others' changes: worked out anew after each race. */
  async change(
    compute: (configuration: Configuration) => E.Either<CommandError, readonly Change[]>,
  ): Promise<E.Either<CommandError, Published>> {
    let last: E.Either<CommandError, Published> = E.left(
      new CommandError(Exit.raced, "lost the race"),
    );
    for (let attempt = 0; attempt < REBASE_ATTEMPTS; attempt += 1) {
      const state = await this.read();
      if (E.isLeft(state)) return state;
      const changes = compute(state.right.configuration);
      if (E.isLeft(changes)) return changes;
      last = await this.publish(state.right, changes.right);
      if (E.isRight(last) || last.left.exit !== Exit.raced) return last;
    }
    return last;
  }

  close(): Promise<void> {
    return this.log.close();
  }

  private async readVerdict(
    record: ConfigRecord,
  ): Promise<E.Either<CommandError, Published> | undefined> {
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
      const fold = new ControlFold();
      let acceptedAt: number | undefined;
      const failed = await this.readOn(fold, () => {
        if (fold.state.lastId === record.id) acceptedAt = fold.state.version;
      });
      if (failed !== undefined) return undefined;
      if (acceptedAt !== undefined)
        return E.right({ version: acceptedAt, changes: record.changes.length });
      if (fold.state.version !== record.basedOn) {
        const message = `lost the race: the configuration is at version ${fold.state.version} by now`;
        return E.left(new CommandError(Exit.raced, message));
      }
      await pause(PAUSE_MS);
    }
    return undefined;
  }

  private async readOn(fold: ControlFold, onRecord: () => void): Promise<CommandError | undefined> {
    for (;;) {
      const page = await this.log.read(StreamName.control, fold.next, 0)();
      if (E.isLeft(page))
        return new CommandError(Exit.unreachable, `the log cannot be read: ${page.left.message}`);
      fold.skipTo(page.right.earliest);
      for (const placed of page.right.records) {
        fold.fold(placed);
        onRecord();
      }
      if (fold.next >= page.right.end) return undefined;
    }
  }
}
