/** Callers' keys: their text form and their stored digest. */
import { createHash, timingSafeEqual } from "node:crypto";

/** First part of every key. */
const KEY_PREFIX = "nk";
/** Length of a digest, in bytes. */
const DIGEST_BYTES = 32;
const KEY_PATTERN = /^nk\.([A-Za-z0-9-]{1,64})\.([A-Za-z0-9_-]{16,128})$/;

/** Stored form of a key; the secret itself is never stored. */
export interface KeyRecord {
  /** Public identifier, also the middle part of the key. */
  readonly id: string;
  /** Workspace whose requests the key admits. */
  readonly workspace: string;
  /** Salt of the digest, in hexadecimal. */
  readonly salt: string;
  /** Digest of salt and secret, in hexadecimal. */
  readonly digest: string;
  /** Whether the key has been withdrawn. */
  readonly withdrawn: boolean;
}

/** A key as a caller presents it, in its parts. */
export interface PresentedKey {
  /** Public identifier. */
  readonly id: string;
  /** Secret part. */
  readonly secret: string;
}

/** Parts from which {@link createKeyRecord} makes a record. */
export interface KeyRecordStructure extends PresentedKey {
  /** Workspace whose requests the key admits. */
  readonly workspace: string;
  /** Salt of the digest, in hexadecimal. */
  readonly salt: string;
}

/**
 * Gets the text form of a key.
 *
 * @example
 * ```ts
 * formatKey({ id: "artis-1", secret: "0123456789abcdef" });
 * // "nk.artis-1.0123456789abcdef"
 * ```
 */
export function formatKey(key: PresentedKey): string {
  return `${KEY_PREFIX}.${key.id}.${key.secret}`;
}

/**
 * Gets the parts of a presented key, or undefined where it is malformed.
 *
 * @example
 * ```ts
 * parseKey("nk.artis-1.0123456789abcdef")?.id; // "artis-1"
 * ```
 */
export function parseKey(text: string): PresentedKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  return { id: match[1], secret: match[2] };
}

/** Creates the stored form of a key. */
export function createKeyRecord(structure: KeyRecordStructure): KeyRecord {
  return {
    id: structure.id,
    workspace: structure.workspace,
    salt: structure.salt,
    digest: digestOf(structure.salt, structure.secret).toString("hex"),
    withdrawn: false,
  };
}

/** Gets whether a secret matches a record, in constant time. */
export function isSecretOf(record: KeyRecord, secret: string): boolean {
  const stored = Buffer.from(record.digest, "hex");
  if (stored.length !== DIGEST_BYTES) return false;
  return timingSafeEqual(stored, digestOf(record.salt, secret));
}

function digestOf(salt: string, secret: string): Buffer {
  return createHash("sha256").update(salt).update(":").update(secret).digest();
}
