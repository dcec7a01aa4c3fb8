/** Mutual challenge-response authentication of a new link. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const NONCE_BYTES = 16;

/** Input of a proof. */
export interface ProofInput {
  /** Secret shared by all instances. */
  readonly secret: string;
  /** Instance that proves its identity. */
  readonly id: string;
  /** Instance that verifies the proof. */
  readonly to: string;
  /** Nonce chosen by the verifying instance. */
  readonly nonce: string;
}

/** Creates a random nonce. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/** Creates the HMAC-SHA-256 of both IDs and the nonce. */
export function createProof(parts: ProofInput): string {
  return createHmac("sha256", parts.secret)
    .update(`${parts.id}\n${parts.to}\n${parts.nonce}`)
    .digest("hex");
}

/** Verifies a proof in constant time. */
export function isValidProof(parts: ProofInput, proof: string): boolean {
  const expected = Buffer.from(createProof(parts));
  const actual = Buffer.from(proof);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}
