/** Texts of results in files beside the log of the ledger. */
import {
  type BatchResult,
  type BatchSnapshot,
  HeldResult,
  type LedgerPart,
  type LedgerSnapshot,
} from "../../core/batches/mod.ts";
import type { TextLocation } from "../../core/bytes/mod.ts";
import { NutmegreelError } from "../../core/errors/mod.ts";
import type { StateFiles } from "../log/mod.ts";
import { TextFiles } from "../storage/mod.ts";

/** Thrown for a part of a snapshot that names files of its sender. */
export class ForeignLocationError extends NutmegreelError {
  constructor() {
    super("foreignLocation", "The part names files of another replica");
  }
}

/** Moves the texts of results, which never change, to files. */
export class ResultFiles implements StateFiles<LedgerSnapshot> {
  readonly #texts: TextFiles;
  /** Places of texts that are in files, though no snapshot names them yet. */
  readonly #places = new WeakMap<HeldResult, TextLocation>();
  /** Files with texts of a snapshot that has not been stored yet. */
  readonly #received = new Set<number>();
  /** Files with texts that were missing and that no snapshot may name yet. */
  readonly #filled = new Set<number>();

  private constructor(texts: TextFiles) {
    this.#texts = texts;
  }

  /**
   * Opens the files in the folder of the log.
   * @param state - Last stored snapshot, which names the files in use.
   * @throws DamagedFileError if one of them is not whole.
   */
  static async open(
    folder: string,
    state: LedgerSnapshot,
  ): Promise<ResultFiles> {
    const texts = await TextFiles.open(folder);
    const ends = endsOf(state);
    await texts.check(ends);
    await texts.removeUpTo(Infinity, new Set(ends.keys()));
    return new ResultFiles(texts);
  }

  /**
   * Writes the texts of results that lacked them.
   * @param texts - The texts in UTF-8, by position.
   * @returns The results with their places.
   */
  async fill(
    results: readonly HeldResult[],
    texts: readonly Uint8Array[],
  ): Promise<HeldResult[]> {
    const locations = await this.#texts.append(texts);
    for (const { file } of locations) this.#filled.add(file);
    return results.map((result, i) => result.at(locations[i]));
  }

  /**
   * Reads the texts of results in UTF-8, wherever they are.
   * @returns Undefined for each that this replica does not have.
   * @throws DamagedTextError if a text is not as it was written.
   */
  async readBytes(
    results: readonly HeldResult[],
  ): Promise<(Uint8Array | undefined)[]> {
    const locations = results.map(({ location }) => location)
      .filter((location) => location !== undefined);
    const texts = (await this.#texts.read(locations)).values();
    return results.map((result) => {
      if (result.isMissing) return undefined;
      return result.hasText ? result.utf8 : texts.next().value;
    });
  }

  /**
   * Reads the texts of results that are in files.
   * @throws DamagedTextError if a text is not as it was written.
   */
  async read(results: readonly BatchResult[]): Promise<BatchResult[]> {
    const locations = results.map(locationOf)
      .filter((location) => location !== undefined);
    if (locations.length === 0) return [...results];
    const texts = (await this.#texts.read(locations)).values();
    return results.map((result) => {
      if (locationOf(result) === undefined) return result;
      const text = texts.next().value!;
      return HeldResult.from(result).withText(text).toPlain();
    });
  }

  async moveState({ batches }: LedgerSnapshot): Promise<LedgerSnapshot> {
    const moved: BatchSnapshot[] = [];
    for (const batch of batches) {
      moved.push({ ...batch, results: await this.#move(batch.results) });
    }
    return { batches: moved };
  }

  async movePart(part: unknown, isFirst: boolean): Promise<LedgerPart> {
    if (isFirst) this.#received.clear();
    const ledgerPart = part as LedgerPart;
    if (resultsOf(ledgerPart).some(isLocated)) throw new ForeignLocationError();
    const results = await this.#move(resultsOf(ledgerPart));
    for (const { location } of results) {
      if (location !== undefined) this.#received.add(location.file);
    }
    return withResults(ledgerPart, results);
  }

  async readPart(part: unknown): Promise<LedgerPart> {
    const ledgerPart = part as LedgerPart;
    return withResults(ledgerPart, await this.read(resultsOf(ledgerPart)));
  }

  sync(): Promise<void> {
    return this.#texts.sync();
  }

  async onStored(state: LedgerSnapshot): Promise<void> {
    const named = new Set(endsOf(state).keys());
    if (named.size === 0) return;
    const isReceived = [...this.#received].every((file) => named.has(file));
    if (isReceived) this.#received.clear();
    if (!hasMissing(state)) this.#filled.clear();
    const kept = new Set([...named, ...this.#received, ...this.#filled]);
    // Later files may hold texts of a snapshot that is being written.
    await this.#texts.removeUpTo(Math.max(...named), kept);
  }

  async close(): Promise<void> {
    await this.#texts.close();
  }

  /**
   * Gets results whose longer texts are in files. A text is written once, also
   * if the snapshot that was to name it could not be stored.
   */
  async #move(results: readonly BatchResult[]): Promise<HeldResult[]> {
    const places = this.#places;
    const held = results.map(HeldResult.from);
    const movable = held.filter((result) =>
      result.hasText && result.isDetachable && !places.has(result)
    );
    const locations = await this.#texts.append(movable.map(({ utf8 }) => utf8));
    movable.forEach((result, i) => places.set(result, locations[i]));
    return held.map((result) => {
      const location = places.get(result);
      return location === undefined ? result : result.at(location);
    });
  }
}

/** Gets whether the text of a result is in a file of the replica that has it. */
function isLocated(result: BatchResult): boolean {
  return "location" in result && result.location !== undefined;
}

function locationOf(result: BatchResult): TextLocation | undefined {
  return result instanceof HeldResult ? result.location : undefined;
}

function resultsOf(part: LedgerPart): readonly BatchResult[] {
  return "batch" in part ? part.batch.results : part.results;
}

function withResults(
  part: LedgerPart,
  results: readonly BatchResult[],
): LedgerPart {
  return "batch" in part ? { batch: { ...part.batch, results } } : { results };
}

/** Gets whether a snapshot has results without their texts. */
function hasMissing({ batches }: LedgerSnapshot): boolean {
  return batches.some(({ results }) =>
    results.some((result) => HeldResult.from(result).isMissing)
  );
}

/** Gets the position after the last text that a snapshot names, by file. */
function endsOf({ batches }: LedgerSnapshot): ReadonlyMap<number, number> {
  const ends = new Map<number, number>();
  for (const { results } of batches) {
    for (const result of results) {
      const { location } = HeldResult.from(result);
      if (location === undefined) continue;
      const { file, offset, length } = location;
      ends.set(file, Math.max(ends.get(file) ?? 0, offset + length));
    }
  }
  return ends;
}
