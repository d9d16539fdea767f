/**
 * The commands `gorsefold key create|withdraw|list`. A key is shown once, when it is created; only its hash is
 * published.
 */
import { randomBytes } from "node:crypto";
import { Command, Option } from "clipanion";
import * as E from "fp-ts/Either";
import type { Configuration } from "../core/config/objects";
import { hashKey } from "../core/ids";
import { ChangeCommand, LogCommand } from "./base";
import { Exit, type ExitCode } from "./exit";
import { CommandError } from "./publisher";

const KEY_BYTES = 24;
const MIN_HASH_DIGITS = 8;

/** Creates a random key of a workspace, publishes its hash and prints the key. */
export class KeyCreateCommand extends ChangeCommand {
  static override paths = [["key", "create"]];
  static override usage = Command.Usage({
    category: "Keys",
    description: "Create a key of a workspace, and show it once",
    examples: [["Create a key", "$0 key create bahla-fort"]],
  });

  workspace = Option.String();
  note = Option.String("--note", { description: "Note to publish with the hash" });

  run(): Promise<ExitCode> {
    const key = `gf_${randomBytes(KEY_BYTES).toString("base64url")}`;
    const name = hashKey(key);
    const value = {
      workspace: this.workspace,
      ...(this.note === undefined ? {} : { note: this.note }),
    };
    return this.withPublisher(async (publisher) => {
      const published = await publisher.publishRebased(() =>
        E.right([{ kind: "keys", name, value }]),
      );
      return this.reportPublished(published, { key, hash: name }, `key ${key}`);
    });
  }
}

/** Marks a key as withdrawn; with --cut, requests in flight with the key are cancelled. */
export class KeyWithdrawCommand extends ChangeCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({
    category: "Keys",
    description: "Withdraw a key, named by itself or by the beginning of its hash",
    details: "Running work of the key continues to its end; with --cut it is cut off.",
    examples: [
      ["Withdraw by hash", "$0 key withdraw 3f2a9c01"],
      ["Withdraw and cut off what runs", "$0 key withdraw 3f2a9c01 --cut --wait 10"],
    ],
  });

  key = Option.String();
  cut = Option.Boolean("--cut", false, { description: "Cut off running work of the key" });

  run(): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const published = await publisher.publishRebased((configuration) => {
        const name = findKey(configuration, this.key);
        if (E.isLeft(name)) return name;
        const current = configuration.keys[name.right];
        const value = { ...current, withdrawn: true, ...(this.cut ? { cut: true } : {}) };
        return E.right([{ kind: "keys" as const, name: name.right, value }]);
      });
      return this.reportPublished(published);
    });
  }
}

/** Lists keys by their hashes. */
export class KeyListCommand extends LogCommand {
  static override paths = [["key", "list"]];
  static override usage = Command.Usage({
    category: "Keys",
    description: "List keys by their hashes",
    examples: [["List them", "$0 key list"]],
  });

  run(): Promise<ExitCode> {
    return this.withPublisher(async (publisher) => {
      const state = await publisher.read();
      if (E.isLeft(state)) return state;
      const keys = Object.entries(state.right.configuration.keys).map(([hash, key]) => ({
        hash,
        ...key,
      }));
      const lines = keys.map(
        (key) =>
          `${key.hash.slice(0, 12)}  ${key.workspace}${key.withdrawn === true ? "  withdrawn" : ""}`,
      );
      this.print(keys, lines.join("\n"));
      return E.right(Exit.done);
    });
  }
}

/** Finds the hash of a key by the key itself or by a unique prefix of its hash. */
function findKey(configuration: Configuration, text: string): E.Either<CommandError, string> {
  const hash = hashKey(text);
  if (Object.hasOwn(configuration.keys, hash)) return E.right(hash);
  const isPrefix = /^[0-9a-f]+$/.test(text) && text.length >= MIN_HASH_DIGITS;
  const matches = isPrefix
    ? Object.keys(configuration.keys).filter((name) => name.startsWith(text))
    : [];
  const [match] = matches;
  if (matches.length === 1 && match !== undefined) return E.right(match);
  const found = matches.length === 0 ? "no key" : `${matches.length} keys`;
  return E.left(
    new CommandError(
      Exit.invalid,
      `${found} found; give the key, or ${MIN_HASH_DIGITS} or more digits of its hash`,
    ),
  );
}
