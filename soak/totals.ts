/** Totals that a soak prints at its end. */

/** Adds up counts by name. */
export class Totals {
  readonly #counts = new Map<string, number>();

  /** Adds to the count of a name. */
  add(name: string, count: number): this {
    this.#counts.set(name, this.get(name) + count);
    return this;
  }

  /** Gets the count of a name. */
  get(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  /** Prints the counts, ordered by name. */
  print(): void {
    for (const [name, count] of [...this.#counts].sort()) {
      console.log(`${name}: ${count}`);
    }
  }
}
