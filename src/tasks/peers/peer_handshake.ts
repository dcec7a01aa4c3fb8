/** How two instances prove their identity to each other on a new link. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const NONCE_BYTES = 16;

/** Parts of a proof. */
export interface ProofParts {
  /** Secret that all instances share. */
  readonly secret: string;
  /** Instance that proves itself. */
  readonly id: string;
  /** Instance that it speaks to. */
  readonly to: string;
  /** Random text of the other side. */
  readonly nonce: string;
}

/** Gets a random text for a proof. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/** Gets the proof of an instance over the other side's random text. */
export function createProof(parts: ProofParts): string {
  return createHmac("sha256", parts.secret)
    .update(`${parts.id}\n${parts.to}\n${parts.nonce}`)
    .digest("hex");
}

/** Gets whether a proof is right, in constant time. */
export function isProofOf(parts: ProofParts, proof: string): boolean {
  const expected = Buffer.from(createProof(parts));
  const given = Buffer.from(proof);
  return given.length === expected.length && timingSafeEqual(given, expected);
}
