/**
 * Validation of JSON documents: io-ts codecs with bounds, codecs that reject unknown members, and
 * errors that name the file, the path, the value found and the allowed values. What others write is
 * bounded here in type, range, size and nesting; nothing here throws on it.
 */
import { isUtf8 } from "node:buffer";
import * as E from "fp-ts/Either";
import { pipe } from "fp-ts/function";
import * as t from "io-ts";

const MAX_FOUND_CHARACTERS = 60;
/** How deep, and how many members of each object, a value found is printed. */
const MAX_FOUND_DEPTH = 2;
const MAX_FOUND_MEMBERS = 4;
/** Maximum length of a fault and of the source in a message, in characters. */
const MAX_FAULT_CHARACTERS = 1000;
const MAX_SOURCE_CHARACTERS = 200;
/** Maximum number of faults that an error lists. */
const MAX_FAULTS = 20;
/** Maximum nesting of a document; several times that of any document that is valid. */
const MAX_DEPTH = 200;
/** Matches half of a surrogate pair: text that has no encoding in UTF-8. */
const LONE_SURROGATE = /\p{Surrogate}/u;

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
    const prefix = cutText(source, MAX_SOURCE_CHARACTERS);
    super(faults.map((fault) => `${prefix}: ${fault}`).join("\n"));
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
  return createChecked(
    `${name}: a number from ${min} to ${max}`,
    (value): value is number => typeof value === "number" && isWithin(value, min, max),
  );
}

/**
 * Creates a codec for a whole number from `min` to `max`, both included. Without bounds, each number
 * that is accepted has an exact value and fits a field of 64 bits.
 *
 * @example
 * createWhole("sequence", 0);
 */
export function createWhole(
  name: string,
  min = Number.MIN_SAFE_INTEGER,
  max = Number.MAX_SAFE_INTEGER,
): t.Type<number> {
  return createChecked(
    `${name}: a whole number from ${min} to ${max}`,
    (value): value is number => Number.isInteger(value) && isWithin(value as number, min, max),
  );
}

/**
 * Creates a codec for text of limited length, in characters, that can be encoded in UTF-8.
 *
 * @example
 * createText("service", 200);
 */
export function createText(name: string, maxCharacters: number): t.Type<string> {
  return createChecked(
    `${name}: text of at most ${maxCharacters} characters`,
    (value): value is string =>
      typeof value === "string" && value.length <= maxCharacters && !LONE_SURROGATE.test(value),
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
    E.mapLeft((errors) => new DecodeError(source, listFaults(errors))),
  );
}

/**
 * Parses and decodes JSON text; text that is not JSON, or nested too deeply, gives an error of the same
 * kind.
 *
 * @example
 * decodeText(settingsCodec, "{}", "settings.json");
 */
export function decodeText<A>(
  codec: t.Type<A>,
  text: string,
  source: string,
): E.Either<DecodeError, A> {
  if (isDeeperThan(text, MAX_DEPTH)) {
    return E.left(new DecodeError(source, [`nested deeper than ${MAX_DEPTH} levels`]));
  }
  return pipe(
    E.tryCatch(
      () => JSON.parse(text) as unknown,
      (error) => new DecodeError(source, [`not JSON: ${cutFault((error as Error).message)}`]),
    ),
    E.chain((value) => decodeValue(codec, value, source)),
  );
}

/**
 * Decodes the bytes of a JSON document that another writer may have left.
 *
 * @param maxBytes - size of the largest document that is parsed
 * @example
 * decodeBytes(memberCodec, record.value, "member nizwa-1", 4096);
 */
export function decodeBytes<A>(
  codec: t.Type<A>,
  bytes: Buffer,
  source: string,
  maxBytes: number,
): E.Either<DecodeError, A> {
  if (bytes.length > maxBytes) {
    const fault = `has ${bytes.length} bytes; allowed: ${maxBytes}`;
    return E.left(new DecodeError(source, [fault]));
  }
  if (!isUtf8(bytes)) return E.left(new DecodeError(source, ["not text in UTF-8"]));
  return decodeText(codec, bytes.toString("utf8"), source);
}

/**
 * Cuts text to a length, in characters, and marks that it was cut.
 *
 * @example
 * cutText("abcdef", 3); // "abc…"
 */
export function cutText(text: string, maxCharacters: number): string {
  return text.length <= maxCharacters ? text : `${text.slice(0, maxCharacters)}…`;
}

function createChecked<A>(allowed: string, isValid: (value: unknown) => value is A): t.Type<A> {
  return new t.Type<A>(
    allowed,
    isValid,
    (value, context) =>
      isValid(value) ? t.success(value) : t.failure(value, context, `allowed: ${allowed}`),
    t.identity,
  );
}

function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max;
}

/** Checks without recursion whether brackets outside of strings are nested deeper than a limit. */
function isDeeperThan(text: string, maxDepth: number): boolean {
  let depth = 0;
  let isString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (isString) {
      if (character === "\\") index += 1;
      else if (character === '"') isString = false;
    } else if (character === '"') isString = true;
    else if (character === "[" || character === "{") {
      depth += 1;
      if (depth > maxDepth) return true;
    } else if (character === "]" || character === "}") depth -= 1;
  }
  return false;
}

function findUnknownMembers(value: unknown, known: readonly string[]): string[] {
  if (typeof value !== "object" || value === null || Array.isArray(value)) return [];
  return Object.keys(value).filter((member) => !known.includes(member));
}

function listFaults(errors: t.Errors): readonly string[] {
  const faults = [...new Set(errors.slice(0, MAX_FAULTS).map(formatFault))];
  const hidden = errors.length - MAX_FAULTS;
  return hidden > 0 ? [...faults, `and ${hidden} more faults`] : faults;
}

function formatFault(error: t.ValidationError): string {
  const steps = error.context
    .filter((entry, index) => index > 0 && !isIntersectionStep(error.context, index, entry.key))
    .map((entry) => entry.key);
  const allowed = error.context.at(-1)?.type.name ?? "another value";
  const found = cutText(formatFound(error.value, 0), MAX_FOUND_CHARACTERS);
  const path = steps.length === 0 ? "the document" : steps.join(".");
  return cutFault(`at ${path}: found ${found}; ${error.message ?? `allowed: ${allowed}`}`);
}

/** Formats a value for a message; of one that is large or deep only the beginning. */
function formatFound(value: unknown, depth: number): string {
  if (value === undefined) return "nothing";
  if (typeof value === "string") return JSON.stringify(value.slice(0, MAX_FOUND_CHARACTERS));
  if (typeof value !== "object" || value === null) return String(value);
  const isArray = Array.isArray(value);
  const members = depth < MAX_FOUND_DEPTH ? formatMembers(value, depth + 1) : "…";
  return isArray ? `[${members}]` : `{${members}}`;
}

function formatMembers(value: object, depth: number): string {
  const keys = Object.keys(value);
  const shown = keys.slice(0, MAX_FOUND_MEMBERS).map((key) => {
    const text = formatFound((value as Readonly<Record<string, unknown>>)[key], depth);
    return Array.isArray(value) ? text : `${formatFound(key, depth)}:${text}`;
  });
  return [...shown, ...(keys.length > shown.length ? ["…"] : [])].join(",");
}

function cutFault(fault: string): string {
  return cutText(fault, MAX_FAULT_CHARACTERS);
}

function isIntersectionStep(context: t.Context, index: number, key: string): boolean {
  const parent = context[index - 1]?.type;
  const isIntersection = parent instanceof ClosedType || parent instanceof t.IntersectionType;
  return isIntersection && /^\d+$/.test(key);
}

function quoteText(text: string): string {
  return `"${text}"`;
}
