/**
 * How tokens are counted at admission, and how a prompt is cut into the blocks that prefix caches
 * know.
 */
import { createHash } from "node:crypto";

/** Bytes of UTF-8 text that count as one token. */
export const BYTES_PER_TOKEN = 4;
/** The shortest prefix that is worth remembering, in bytes. */
const FIRST_BLOCK_BYTES = 1024;
/** The most prefixes that are hashed for one prompt; each is twice as long as the one before. */
const MAX_PREFIX_BLOCKS = 8;
/** Hash bits kept for a block: what a double holds exactly. */
const BLOCK_HASH_BYTES = 6;

/** A prefix of a prompt: its hash and its length in tokens. */
export interface PrefixBlock {
  readonly hash: number;
  readonly tokens: number;
}

/**
 * Counts the tokens of a text.
 *
 * @example
 * countTokens("abcdefgh"); // 2
 */
export function countTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
}

/**
 * Hashes the prefixes of a prompt of doubling length.
 *
 * @returns blocks from the shortest to the longest; none for a short prompt
 * @example
 * computePrefixBlocks("x".repeat(3000)).length; // 2
 */
export function computePrefixBlocks(prompt: string): readonly PrefixBlock[] {
  const bytes = Buffer.from(prompt);
  const hash = createHash("sha1");
  const blocks: PrefixBlock[] = [];
  let start = 0;
  for (let end = FIRST_BLOCK_BYTES; end <= bytes.length; end *= 2) {
    hash.update(bytes.subarray(start, end));
    const digest = hash.copy().digest().readUIntBE(0, BLOCK_HASH_BYTES);
    blocks.push({ hash: digest, tokens: end / BYTES_PER_TOKEN });
    start = end;
    if (blocks.length === MAX_PREFIX_BLOCKS) break;
  }
  return blocks;
}

/**
 * Computes the length in tokens of the block at a position.
 *
 * @example
 * computePrefixBlockTokens(0); // 256
 */
export function computePrefixBlockTokens(position: number): number {
  return (FIRST_BLOCK_BYTES * 2 ** position) / BYTES_PER_TOKEN;
}
