/**
 * Deterministic text of the stand-in engine, so that a caller can verify a completion from its prompt.
 */
import { createHash } from "node:crypto";

const VOCABULARY_SIZE = 9973;

/** Computes the seed of a prompt, from which all its tokens follow. */
export function computeSeed(prompt: string): number {
  return createHash("sha1").update(prompt).digest().readUInt32BE(0);
}

/** Computes the token at an index of the completion. */
export function computeToken(seed: number, index: number): string {
  return `w${(seed + index * 7919) % VOCABULARY_SIZE} `;
}

/** Computes the text of a complete response of `tokens` tokens. */
export function computeAnswer(prompt: string, tokens: number): string {
  const seed = computeSeed(prompt);
  return Array.from({ length: tokens }, (_, index) => computeToken(seed, index)).join("");
}
