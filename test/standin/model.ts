/**
 * What the stand-in engine generates: known beforehand, so that a caller can check its answer.
 */
import { createHash } from "node:crypto";

const VOCABULARY_SIZE = 9973;

/** Computes the seed of a prompt. */
export function computeSeed(prompt: string): number {
  return createHash("sha1").update(prompt).digest().readUInt32BE(0);
}

/** Computes the token at an index. */
export function computeToken(seed: number, index: number): string {
  return `w${(seed + index * 7919) % VOCABULARY_SIZE} `;
}

/** Computes a whole answer. */
export function computeAnswer(prompt: string, tokens: number): string {
  const seed = computeSeed(prompt);
  return Array.from({ length: tokens }, (_, index) => computeToken(seed, index)).join("");
}
