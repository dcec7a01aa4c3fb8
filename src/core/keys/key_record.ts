/** Text format of API keys, and the records in which they are stored. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Prefix of every key. */
const KEY_PREFIX = "nk";
/** Length of a SHA-256 digest, in bytes. */
const DIGEST_BYTES = 32;
const KEY_PATTERN = /^nk\.([A-Za-z0-9-]{1,64})\.([A-Za-z0-9_-]{16,128})$/;

/** Stored form of a key. The secret itself is never stored. */
export interface KeyRecord {
  /** Public identifier, which is also the middle part of the key. */
  readonly id: string;
  /** Workspace whose requests the key authenticates. */
  readonly workspace: string;
  /** Salt of the digest, hex-encoded. */
  readonly salt: string;
  /** SHA-256 digest of `salt:secret`, hex-encoded. */
  readonly digest: string;
  readonly withdrawn: boolean;
}

/** An API key as presented by a caller, split into its parts. */
export interface PresentedKey {
  /** Public identifier of the key. */
  readonly id: string;
  /** Secret part of the key. */
  readonly secret: string;
}

/** Input of {@link createKeyRecord}. */
export interface KeyRecordStructure extends PresentedKey {
  /** Workspace whose requests the key authenticates. */
  readonly workspace: string;
  /** Salt of the digest, hex-encoded. */
  readonly salt: string;
}

/**
 * Formats a key as text.
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
 * Parses a presented key; undefined if it is malformed.
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

/** Creates the record of a key, with the digest in place of the secret. */
export function createKeyRecord(structure: KeyRecordStructure): KeyRecord {
  return {
    id: structure.id,
    workspace: structure.workspace,
    salt: structure.salt,
    digest: hashSecret(structure.salt, structure.secret).toString("hex"),
    withdrawn: false,
  };
}

/**
 * Gets whether a secret matches a record. Compares the digests in constant
 * time.
 */
export function isSecretOf(record: KeyRecord, secret: string): boolean {
  const stored = Buffer.from(record.digest, "hex");
  if (stored.length !== DIGEST_BYTES) return false;
  return timingSafeEqual(stored, hashSecret(record.salt, secret));
}

function hashSecret(salt: string, secret: string): Buffer {
  return createHash("sha256").update(salt).update(":").update(secret).digest();
}
