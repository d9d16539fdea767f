/**
 * Publishes configuration changes through the platform's log, and reads the log back to find out whether a change was
 * accepted.
 */
import { pause } from "../core/clock";
import { randomUUID } from "node:crypto";
import * as E from "fp-ts/Either";
import type { Configuration } from "../core/config/objects";
import { ControlFold } from "../core/config/controlfold";
import {
  applyChanges,
  type Change,
  type ConfigRecord,
  type ConfigState,
} from "../core/config/fold";
import { HttpLogClient, type LogClient, StreamName } from "../store/log";
import { Exit, type ExitCode } from "./exit";

const MAX_APPEND_ATTEMPTS = 4;
const MAX_READ_BACK_ATTEMPTS = 10;
const READ_BACK_INTERVAL_MS = 150;
const MAX_REBASE_ATTEMPTS = 8;

/** A failure of a command, with its exit code. */
export class CommandError extends Error {
  override readonly name = "CommandError";

  constructor(
    readonly exitCode: ExitCode,
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
    const readError = await this.readToEnd(fold, () => undefined);
    if (readError !== undefined) return E.left(readError);
    if (fold.isIncomplete) {
      return E.left(
        new CommandError(
          Exit.unreachable,
          "the log has no snapshot that covers its trimmed records",
        ),
      );
    }
    return E.right(fold.state);
  }

  /**
   * Publishes changes that were computed from one version of the configuration. Fails with exit code `conflict` where
   * another operator's change was accepted first, and with `unknown` where the log does not show the result.
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
    for (let attempt = 0; attempt < MAX_APPEND_ATTEMPTS; attempt += 1) {
      // Appending the same record again is safe: once it is accepted, the version it is based on is out of date, so
      // the copy is rejected.
      await this.log.append(StreamName.control, [record])();
      const result = await this.readPublishResult(record);
      if (result !== undefined) return result;
    }
    return E.left(
      new CommandError(
        Exit.unknown,
        "cannot tell whether the change was published: the log does not answer; run the command again",
      ),
    );
  }

  /**
   * Publishes changes that do not depend on other operators' changes: after each conflict, they are computed again from
   * the current configuration, up to a limit of attempts.
   */
  async publishRebased(
    compute: (configuration: Configuration) => E.Either<CommandError, readonly Change[]>,
  ): Promise<E.Either<CommandError, Published>> {
    let lastResult: E.Either<CommandError, Published> = E.left(
      new CommandError(Exit.conflict, "another change was published first"),
    );
    for (let attempt = 0; attempt < MAX_REBASE_ATTEMPTS; attempt += 1) {
      const state = await this.read();
      if (E.isLeft(state)) return state;
      const changes = compute(state.right.configuration);
      if (E.isLeft(changes)) return changes;
      lastResult = await this.publish(state.right, changes.right);
      if (E.isRight(lastResult) || lastResult.left.exitCode !== Exit.conflict) return lastResult;
    }
    return lastResult;
  }

  close(): Promise<void> {
    return this.log.close();
  }

  /** Reads the log until it shows whether a record was accepted; undefined where it does not show it in time. */
  private async readPublishResult(
    record: ConfigRecord,
  ): Promise<E.Either<CommandError, Published> | undefined> {
    for (let attempt = 0; attempt < MAX_READ_BACK_ATTEMPTS; attempt += 1) {
      const fold = new ControlFold();
      let acceptedVersion: number | undefined;
      const readError = await this.readToEnd(fold, () => {
        if (fold.state.lastId === record.id) acceptedVersion = fold.state.version;
      });
      if (readError !== undefined) return undefined;
      if (acceptedVersion !== undefined)
        return E.right({ version: acceptedVersion, changes: record.changes.length });
      if (fold.state.version !== record.basedOn) {
        const message = `another change was published first: the configuration is now at version ${fold.state.version}`;
        return E.left(new CommandError(Exit.conflict, message));
      }
      await pause(READ_BACK_INTERVAL_MS);
    }
    return undefined;
  }

  /** Folds all records up to the end of the log; returns an error where the log cannot be read. */
  private async readToEnd(
    fold: ControlFold,
    onRecord: () => void,
  ): Promise<CommandError | undefined> {
    for (;;) {
      const page = await this.log.read(StreamName.control, fold.next, 0)();
      if (E.isLeft(page))
        return new CommandError(Exit.unreachable, `the log cannot be read: ${page.left.message}`);
      fold.skipTo(page.right.earliest);
      for (const record of page.right.records) {
        fold.fold(record);
        onRecord();
      }
      if (fold.next >= page.right.end) return undefined;
    }
  }
}
