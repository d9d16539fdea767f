/**
 * Creates and parses identifiers, and hashes API keys and requests.
 */
import { createHash, randomBytes } from "node:crypto";

const INCARNATION_BYTES = 6;
const FINGERPRINT_HEX_CHARACTERS = 32;

/**
 * Creates an incarnation: the unique name of one run of an instance's process.
 *
 * @example
 * createIncarnation("nizwa-1"); // "nizwa-1/5f0c2a9b71d3"
 */
export function createIncarnation(instance: string): string {
  return `${instance}/${randomBytes(INCARNATION_BYTES).toString("hex")}`;
}

/** Creates unique identifiers from an incarnation and a counter. */
export class IdGenerator {
  private count = 0;

  constructor(private readonly incarnation: string) {}

  /** Creates the next identifier. */
  next(): string {
    this.count += 1;
    return `${this.incarnation}:${this.count.toString(36)}`;
  }
}

/**
 * Extracts the incarnation that created an identifier.
 *
 * @example
 * parseIncarnation("nizwa-1/5f0c:2b"); // "nizwa-1/5f0c"
 */
export function parseIncarnation(id: string): string {
  return id.slice(0, id.lastIndexOf(":"));
}

/**
 * Extracts the instance from an incarnation.
 *
 * @example
 * parseInstance("nizwa-1/5f0c"); // "nizwa-1"
 */
export function parseInstance(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf("/"));
}

/**
 * Hashes a caller's API key; only the hash is ever published or stored.
 *
 * @example
 * hashKey("gf_abc"); // 64 hexadecimal digits
 */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/**
 * Computes the fingerprint that identifies copies of one request.
 *
 * @param parts - the values that are equal in all copies of a request, in a fixed order
 * @example
 * computeFingerprint("drafter", "prompt text");
 */
export function computeFingerprint(...parts: readonly (string | Buffer)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest("hex").slice(0, FINGERPRINT_HEX_CHARACTERS);
}
