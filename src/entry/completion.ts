/**
 * Parses and validates completion requests from callers.
 */
import * as E from "fp-ts/Either";
import { pipe } from "fp-ts/function";
import * as t from "io-ts";
import type { Configuration, PriorityClass } from "../core/config/objects";
import { decodeText } from "../core/codec";
import { computeFingerprint } from "../core/ids";
import { createNotRunRefusal, Reason, type Refusal } from "../core/outcome";
import { type PrefixBlock, computePrefixBlocks, countTokens } from "../core/tokens";

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;

const messageCodec = t.type({ role: t.string, content: t.string });

const bodyCodec = t.intersection([
  t.type({ model: t.string }),
  t.partial({
    prompt: t.string,
    messages: t.array(messageCodec),
    max_tokens: t.number,
    stream: t.boolean,
  }),
]);

/** A valid completion request. */
export interface Completion {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
  readonly isChat: boolean;
  readonly promptTokens: number;
  readonly blocks: readonly PrefixBlock[];
  /** Hash of the model and the prompt, by which a poison request is recognised. */
  readonly fingerprint: string;
}

/** A priority class with its name. */
export interface NamedClass extends PriorityClass {
  readonly name: string;
}

/**
 * Parses the body of a completion request.
 *
 * @returns the request, or the refusal of an invalid body or unknown model
 * @example
 * parseCompletion('{"model":"drafter","prompt":"a"}', configuration);
 */
export function parseCompletion(
  text: string,
  configuration: Configuration,
): E.Either<Refusal, Completion> {
  return pipe(
    decodeText(bodyCodec, text, "body"),
    E.mapLeft((error) => createNotRunRefusal(400, Reason.badRequest, error.message)),
    E.chain((body) => {
      const isChat = body.messages !== undefined;
      const prompt = body.messages === undefined ? body.prompt : formatMessages(body.messages);
      if (prompt === undefined || prompt === "") {
        return E.left(
          createNotRunRefusal(
            400,
            Reason.badRequest,
            'body: at prompt: allowed: "prompt" or "messages"',
          ),
        );
      }
      const maxTokens = body.max_tokens ?? DEFAULT_MAX_TOKENS;
      if (!Number.isInteger(maxTokens) || maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
        const message = `body: at max_tokens: allowed: a whole number from 1 to ${MAX_TOKENS_LIMIT}`;
        return E.left(createNotRunRefusal(400, Reason.badRequest, message));
      }
      if (!Object.hasOwn(configuration.models, body.model)) {
        const message = `the model "${body.model.slice(0, 60)}" is not known`;
        return E.left(createNotRunRefusal(404, Reason.unknownModel, message));
      }
      return E.right({
        model: body.model,
        prompt,
        maxTokens,
        isStream: body.stream === true,
        isChat,
        promptTokens: countTokens(prompt),
        blocks: computePrefixBlocks(prompt),
        fingerprint: computeFingerprint(body.model, prompt),
      });
    }),
  );
}

/**
 * Chooses the priority class of a request: the one requested, or the workspace's first.
 *
 * @param requested - value of the X-Priority-Class header
 * @example
 * chooseClass(configuration, "large-town", undefined);
 */
export function chooseClass(
  configuration: Configuration,
  workspace: string,
  requested: string | undefined,
): E.Either<Refusal, NamedClass> {
  const allowed = configuration.workspaces[workspace]?.classes ?? [];
  const name = requested ?? allowed[0] ?? "";
  const priorityClass = configuration.classes[name];
  if (priorityClass === undefined || !allowed.includes(name)) {
    const message = `the priority class "${name.slice(0, 60)}" is not one of the workspace's: ${allowed.join(", ")}`;
    return E.left(createNotRunRefusal(400, Reason.unknownClass, message));
  }
  return E.right({ ...priorityClass, name });
}

function formatMessages(messages: readonly t.TypeOf<typeof messageCodec>[]): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join("\n");
}
