/**
 * Estimates token counts at admission, and hashes a prompt's prefixes into the blocks by which
 * prefix caches are matched.
 */
import { createHash } from "node:crypto";

/** Bytes of UTF-8 text counted as one token. */
export const BYTES_PER_TOKEN = 4;
/** Length of the shortest prefix that is tracked, in bytes. */
const FIRST_BLOCK_BYTES = 1024;
/** Maximum number of prefixes hashed for one prompt; each is twice as long as the one before. */
const MAX_PREFIX_BLOCKS = 8;
/** Bytes of the hash kept for a block: 48 bits, which a double represents exactly. */
const BLOCK_HASH_BYTES = 6;

/** A prefix of a prompt, by its hash and its length in tokens. */
export interface PrefixBlock {
  readonly hash: number;
  readonly tokens: number;
}

/**
 * Estimates the number of tokens in a text from its length in bytes, rounded up.
 *
 * @example
 * countTokens("abcdefgh"); // 2
 */
export function countTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
}

/**
 * Hashes prefixes of a prompt, each twice as long as the one before.
 *
 * @returns blocks from the shortest to the longest; none for a prompt of less than 1024 bytes
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
 * Computes the length in tokens of the prefix block at a position, counted from 0.
 *
 * @example
 * computePrefixBlockTokens(0); // 256
 */
export function computePrefixBlockTokens(position: number): number {
  return (FIRST_BLOCK_BYTES * 2 ** position) / BYTES_PER_TOKEN;
}
