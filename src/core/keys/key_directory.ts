/** API keys held by an instance. */
import { RefusalError, RefusalReason, Verdict } from "../verdict/mod.ts";
import { isSecretOf, type KeyRecord, parseKey } from "./key_record.ts";

/** Stores key records and authenticates API keys. */
export class KeyDirectory {
  readonly #records = new Map<string, KeyRecord>();

  /** Adds or replaces a record. A withdrawal cannot be undone. */
  put(record: KeyRecord): this {
    const existing = this.#records.get(record.id);
    const withdrawn = record.withdrawn || existing?.withdrawn === true;
    this.#records.set(record.id, { ...record, withdrawn });
    return this;
  }

  /** Withdraws a key. Ignored if the key is not known. */
  withdraw(id: string): this {
    const existing = this.#records.get(id);
    if (existing !== undefined) this.put({ ...existing, withdrawn: true });
    return this;
  }

  /** Gets a record by its key identifier. */
  get(id: string): KeyRecord | undefined {
    return this.#records.get(id);
  }

  /** Gets whether a key is known and has not been withdrawn. */
  isLive(id: string): boolean {
    const record = this.#records.get(id);
    return record !== undefined && !record.withdrawn;
  }

  /** Gets all records in the order in which they were added. */
  list(): readonly KeyRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Authenticates an API key and returns its record.
   *
   * @example
   * ```ts
   * const record = directory.authenticateOrThrow("nk.artis-1.0123…");
   * ```
   * @throws RefusalError with verdict `notRun` if the key is missing, unknown
   * or withdrawn.
   */
  authenticateOrThrow(presented: string | undefined): KeyRecord {
    if (presented === undefined) throw createRefusal(RefusalReason.KeyMissing);
    const key = parseKey(presented);
    if (key === undefined) throw createRefusal(RefusalReason.KeyUnknown);
    const record = this.#records.get(key.id);
    if (record === undefined) throw createRefusal(RefusalReason.KeyUnknown);
    if (!isSecretOf(record, key.secret)) {
      throw createRefusal(RefusalReason.KeyUnknown);
    }
    if (record.withdrawn) throw createRefusal(RefusalReason.KeyWithdrawn);
    return record;
  }
}

function createRefusal(reason: RefusalReason): RefusalError {
  return new RefusalError(reason, Verdict.NotRun);
}
