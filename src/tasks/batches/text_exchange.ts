/** Texts of results that replicas of the ledger get from each other. */
import { crc32 } from "node:zlib";
import {
  type BatchState,
  HeldResult,
  type MissingText,
} from "../../core/batches/mod.ts";
import { isSameText } from "../../core/bytes/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { ResultFiles } from "./result_files.ts";

/** Names the result of an item whose text is asked for. */
export interface TextName {
  readonly batch: string;
  readonly item: string;
}

/** Texts in UTF-8, by position; null for each that the replica lacks. */
export type TextsReply = readonly (Uint8Array | null)[];

/** Options of {@link TextExchange}. */
export interface TextExchangeOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  /** Gets the files with texts; undefined before the store is open. */
  readonly files: () => ResultFiles | undefined;
  /** Gets the instances with another replica. */
  readonly sources: () => readonly string[];
  /** Requests texts from an instance. */
  readonly request: (
    instance: string,
    names: readonly TextName[],
  ) => Promise<unknown>;
  readonly logger: Logger;
}

/** Fetches texts from other replicas, and serves those that this one has. */
export class TextExchange {
  readonly #options: TextExchangeOptions;
  /** Instances that lacked texts when they were last asked. */
  readonly #incomplete = new Set<string>();
  #fetchCount = 0;

  constructor(options: TextExchangeOptions) {
    this.#options = options;
  }

  /** Gets the number of instances that had all texts when they were last asked. */
  get completeCount(): number {
    return this.#options.sources()
      .filter((id) => !this.#incomplete.has(id)).length;
  }

  /** Gets the texts of results for another replica. */
  async serve(names: readonly TextName[]): Promise<TextsReply> {
    const state = this.#options.state();
    const results = names.map(({ batch, item }) =>
      state.get(batch)?.getHeldResult(item)
    );
    const known = results.filter((result) => result !== undefined);
    const read = await this.#options.files()?.readBytes(known) ?? [];
    const texts = new Map(known.map((result, i) => [result, read[i]]));
    return results.map((result) => result && texts.get(result) || null);
  }

  /**
   * Fetches texts from the replicas that have them.
   * @returns The texts in UTF-8, by position; undefined for each not found.
   */
  async fetch(
    missing: readonly MissingText[],
  ): Promise<(Uint8Array | undefined)[]> {
    const found = new Map<MissingText, Uint8Array>();
    for (const source of this.#nextSources()) {
      const open = missing.filter((text) => !found.has(text));
      if (open.length === 0) break;
      const texts = await this.#request(source, open);
      open.forEach((text, i) => {
        if (isTextOf(text.result, texts[i])) found.set(text, texts[i]);
      });
      if (found.size === missing.length) this.#incomplete.delete(source);
      else this.#incomplete.add(source);
    }
    return missing.map((text) => found.get(text));
  }

  /** Gets the instances to be asked; those that have texts are first by turns. */
  #nextSources(): readonly string[] {
    const sources = this.#options.sources();
    const complete = sources.filter((id) => !this.#incomplete.has(id));
    const others = sources.filter((id) => this.#incomplete.has(id));
    const first = this.#fetchCount % Math.max(1, complete.length);
    this.#fetchCount += 1;
    return [...complete.slice(first), ...complete.slice(0, first), ...others];
  }

  async #request(
    source: string,
    missing: readonly MissingText[],
  ): Promise<readonly unknown[]> {
    const { request, logger } = this.#options;
    const names = missing
      .map(({ batch, result }) => ({ batch, item: result.id }));
    try {
      const reply = await request(source, names);
      return Array.isArray(reply) ? reply : [];
    } catch (err) {
      const detail = (err as Error).message;
      logger.event("textsNotFetched", { source, detail });
      return [];
    }
  }
}

/** Gets whether a text is the one that a result lacks. */
function isTextOf(result: HeldResult, text: unknown): text is Uint8Array {
  if (!(text instanceof Uint8Array)) return false;
  const { byteLength: length } = text;
  return isSameText(result.digest, { length, checksum: crc32(text) });
}
