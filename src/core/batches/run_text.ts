/** Text of an item, put together from the events of one or more runs. */

/** An event of a run. */
export interface RunEvent {
  /** Number of the event within the item's output. */
  readonly id: number;
  readonly data: string;
}

/** What was kept of an item's text, to go on from. */
export interface KeptText {
  readonly lastId: number;
  readonly pieces: readonly string[];
  readonly versions: readonly number[];
}

/**
 * Collects events in order, with the versions that generated them.
 *
 * @example
 * ```ts
 * const text = new RunText().setVersion(3);
 * text.add({ id: 1, data: "a" }); // true
 * ```
 */
export class RunText {
  readonly #pieces: string[] = [];
  readonly #versions = new Set<number>();
  #version: number | undefined;
  #lastId = 0;

  /** Creates an empty text, or one that goes on from what was kept. */
  constructor(kept?: KeptText) {
    if (kept === undefined) return;
    this.#pieces.push(...kept.pieces);
    for (const version of kept.versions) this.#versions.add(version);
    this.#lastId = kept.lastId;
  }

  /** Gets the number of the last event; 0 before the first. */
  get lastId(): number {
    return this.#lastId;
  }

  /** Gets the number of events. */
  get size(): number {
    return this.#pieces.length;
  }

  /** Gets the versions so far, ascending. */
  get versions(): number[] {
    return [...this.#versions].sort((a, b) => a - b);
  }

  /** Gets the text: the data of the events, a line each. */
  get text(): string {
    return this.#pieces.join("\n");
  }

  /** Gets what is to be kept for another run. */
  get kept(): KeptText {
    const { lastId, versions } = this;
    return { lastId, versions, pieces: [...this.#pieces] };
  }

  /** Gets the pieces after an event. */
  piecesAfter(id: number): readonly string[] {
    return this.#pieces.slice(id);
  }

  /** Records the version that generates from now on. */
  setVersion(version: number): this {
    this.#version = version;
    return this;
  }

  /**
   * Adds an event.
   * @returns Whether it follows the last one and its version is known.
   */
  add(event: RunEvent): boolean {
    if (event.id !== this.#lastId + 1) return false;
    if (this.#version === undefined) return false;
    this.#versions.add(this.#version);
    this.#pieces.push(event.data);
    this.#lastId = event.id;
    return true;
  }
}
