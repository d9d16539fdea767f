/**
 * Validation of JSON documents: io-ts codecs that reject unknown members, and errors that name the
 * file, the path, the value found and the allowed values.
 */
import * as E from "fp-ts/Either";
import { pipe } from "fp-ts/function";
import * as t from "io-ts";

const MAX_FOUND_CHARACTERS = 60;

/**
 * A codec made by `createClosed`. Error paths leave out the index that its inner intersection adds.
 */
class ClosedType<A> extends t.Type<A> {}

/** One or more faults found in a JSON document, one per line of the message. */
export class DecodeError extends Error {
  override readonly name = "DecodeError";

  constructor(
    readonly source: string,
    readonly faults: readonly string[],
  ) {
    super(faults.map((fault) => `${source}: ${fault}`).join("\n"));
  }
}

/**
 * Creates a codec for an object that rejects any member not listed.
 *
 * @param name - the name of the object in error messages
 * @param required - codecs of the members that must be present
 * @param optional - codecs of the members that may be absent
 * @example
 * createClosed("listen", { host: t.string }, { port: t.number });
 */
export function createClosed<R extends t.Props, O extends t.Props>(
  name: string,
  required: R,
  optional: O,
): t.Type<t.TypeOf<t.TypeC<R>> & t.TypeOf<t.PartialC<O>>> {
  type Value = t.TypeOf<t.TypeC<R>> & t.TypeOf<t.PartialC<O>>;
  const inner = t.intersection([t.type(required), t.partial(optional)], name);
  const known = [...Object.keys(required), ...Object.keys(optional)];
  return new ClosedType<Value>(
    name,
    (value): value is Value => inner.is(value),
    (value, context) => {
      const unknownMembers = findUnknownMembers(value, known);
      if (unknownMembers.length === 0) return inner.validate(value, context) as t.Validation<Value>;
      const message = `unknown member ${unknownMembers.map(quoteText).join(", ")}; allowed: ${known.join(", ")}`;
      return t.failure(value, context, message);
    },
    t.identity,
  ) as t.Type<Value>;
}

/**
 * Creates a codec for a number from `min` to `max`, both included.
 *
 * @example
 * createRange("port", 1, 65535);
 */
export function createRange(name: string, min: number, max: number): t.Type<number> {
  const allowed = `${name}: a number from ${min} to ${max}`;
  return new t.Type<number>(
    allowed,
    (value): value is number => typeof value === "number" && value >= min && value <= max,
    (value, context) =>
      typeof value === "number" && value >= min && value <= max
        ? t.success(value)
        : t.failure(value, context, `allowed: ${allowed}`),
    t.identity,
  );
}

/**
 * Decodes a parsed JSON value.
 *
 * @param codec - the codec to validate against
 * @param value - the parsed value
 * @param source - the file or stream that the value came from, for error messages
 * @returns the typed value, or an error with every fault found
 * @example
 * decodeValue(settingsCodec, JSON.parse(text), "settings.json");
 */
export function decodeValue<A>(
  codec: t.Type<A>,
  value: unknown,
  source: string,
): E.Either<DecodeError, A> {
  return pipe(
    codec.decode(value),
    E.mapLeft((errors) => new DecodeError(source, [...new Set(errors.map(formatFault))])),
  );
}

/**
 * Parses and decodes JSON text; text that is not JSON gives an error of the same kind.
 *
 * @example
 * decodeText(settingsCodec, "{}", "settings.json");
 */
export function decodeText<A>(
  codec: t.Type<A>,
  text: string,
  source: string,
): E.Either<DecodeError, A> {
  return pipe(
    E.tryCatch(
      () => JSON.parse(text) as unknown,
      (error) => new DecodeError(source, [`not JSON: ${(error as Error).message}`]),
    ),
    E.chain((value) => decodeValue(codec, value, source)),
  );
}

function findUnknownMembers(value: unknown, known: readonly string[]): string[] {
  if (typeof value !== "object" || value === null || Array.isArray(value)) return [];
  return Object.keys(value).filter((member) => !known.includes(member));
}

function formatFault(error: t.ValidationError): string {
  const steps = error.context
    .filter((entry, index) => index > 0 && !isIntersectionStep(error.context, index, entry.key))
    .map((entry) => entry.key);
  const allowed = error.context.at(-1)?.type.name ?? "another value";
  const found = (JSON.stringify(error.value) ?? "nothing").slice(0, MAX_FOUND_CHARACTERS);
  const path = steps.length === 0 ? "the document" : steps.join(".");
  return `at ${path}: found ${found}; ${error.message ?? `allowed: ${allowed}`}`;
}

function isIntersectionStep(context: t.Context, index: number, key: string): boolean {
  const parent = context[index - 1]?.type;
  const isIntersection = parent instanceof ClosedType || parent instanceof t.IntersectionType;
  return isIntersection && /^\d+$/.test(key);
}

function quoteText(text: string): string {
  return `"${text}"`;
}
