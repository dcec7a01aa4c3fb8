/** The keys that an instance knows. */
import { RefusalError, RefusalReason, Verdict } from "../verdict/mod.ts";
import { isSecretOf, type KeyRecord, parseKey } from "./key_record.ts";

/** Holds key records and authenticates presented keys. */
export class KeyDirectory {
  readonly #records = new Map<string, KeyRecord>();

  /** Adds or replaces a record; a withdrawal is never undone. */
  put(record: KeyRecord): this {
    const known = this.#records.get(record.id);
    const withdrawn = record.withdrawn || known?.withdrawn === true;
    this.#records.set(record.id, { ...record, withdrawn });
    return this;
  }

  /** Withdraws a key. */
  withdraw(id: string): this {
    const known = this.#records.get(id);
    if (known !== undefined) this.put({ ...known, withdrawn: true });
    return this;
  }

  /** Gets a record by the identifier of its key. */
  get(id: string): KeyRecord | undefined {
    return this.#records.get(id);
  }

  /** Gets whether a key is known and not withdrawn. */
  isLive(id: string): boolean {
    const known = this.#records.get(id);
    return known !== undefined && !known.withdrawn;
  }

  /** Gets all records, in order of creation. */
  list(): readonly KeyRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Gets the record of a presented key.
   *
   * @example
   * ```ts
   * const record = directory.authenticateOrThrow("nk.artis-1.0123…");
   * ```
   * @throws RefusalError with verdict notRun where the key is not live.
   */
  authenticateOrThrow(presented: string | undefined): KeyRecord {
    if (presented === undefined) throw refusal(RefusalReason.KeyMissing);
    const key = parseKey(presented);
    if (key === undefined) throw refusal(RefusalReason.KeyUnknown);
    const record = this.#records.get(key.id);
    if (record === undefined) throw refusal(RefusalReason.KeyUnknown);
    if (!isSecretOf(record, key.secret)) {
      throw refusal(RefusalReason.KeyUnknown);
    }
    if (record.withdrawn) throw refusal(RefusalReason.KeyWithdrawn);
    return record;
  }
}

function refusal(reason: RefusalReason): RefusalError {
  return new RefusalError(reason, Verdict.NotRun);
}
