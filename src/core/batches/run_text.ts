/** Output text of an item, assembled from the events of one or more runs. */

/** An output event of a run. */
export interface RunEvent {
  /** Number of the event in the item's output, from 1. */
  readonly id: number;
  readonly data: string;
}

/** Partial output of an item, from which a later run can resume. */
export interface PartialText {
  readonly lastId: number;
  readonly pieces: readonly string[];
  readonly versions: readonly number[];
  /** Software version of the targets that wrote it; undefined if unknown. */
  readonly software?: string | undefined;
  /** Whether the output is complete and waits only for its score. */
  readonly isComplete?: boolean;
}

/** Length for which an event counts beside its data, in UTF-16 code units. */
const EVENT_LENGTH = 16;

/**
 * Collects the events of an output in order, and their weight versions.
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
  readonly #isComplete: boolean;
  #version: number | undefined;
  #software: string | undefined;
  #lastId = 0;
  #length = 0;

  /** Creates an empty text, or one that resumes from a partial output. */
  constructor(partial?: PartialText) {
    this.#isComplete = partial?.isComplete ?? false;
    if (partial === undefined) return;
    for (const piece of partial.pieces) this.#push(piece);
    for (const version of partial.versions) this.#versions.add(version);
    this.#lastId = partial.lastId;
    this.#software = partial.software;
  }

  /** Gets the number of the last event; 0 before the first. */
  get lastId(): number {
    return this.#lastId;
  }

  /** Gets whether the text was created from a complete output. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Gets the number of events. */
  get size(): number {
    return this.#pieces.length;
  }

  /** Gets the length of all events as they are kept, in UTF-16 code units. */
  get length(): number {
    return this.#length;
  }

  /** Gets the weight versions of the events so far, ascending. */
  get versions(): number[] {
    return [...this.#versions].sort((a, b) => a - b);
  }

  /** Gets the text: the data of the events, joined by newlines. */
  get text(): string {
    return this.#pieces.join("\n");
  }

  /** Gets a copy of the output so far, for another run to resume from. */
  get partialText(): PartialText {
    const { lastId, versions, software } = this;
    return { lastId, versions, software, pieces: [...this.#pieces] };
  }

  /**
   * Gets the software version of the targets that write the text; undefined if
   * it is unknown.
   */
  get software(): string | undefined {
    return this.#software;
  }

  /** Gets the data of the events after an event number. */
  piecesAfter(id: number): readonly string[] {
    return this.#pieces.slice(id);
  }

  /** Sets the software version of the target that writes the text. */
  setSoftware(software: string | undefined): this {
    this.#software = software;
    return this;
  }

  /** Sets the weight version of the events added next. */
  setVersion(version: number): this {
    this.#version = version;
    return this;
  }

  /**
   * Appends an event.
   * @returns False if the event is out of order or its version is unknown.
   */
  add(event: RunEvent): boolean {
    if (event.id !== this.#lastId + 1) return false;
    if (this.#version === undefined) return false;
    this.#versions.add(this.#version);
    this.#push(event.data);
    this.#lastId = event.id;
    return true;
  }

  #push(piece: string): void {
    this.#pieces.push(piece);
    this.#length += piece.length + EVENT_LENGTH;
  }
}
