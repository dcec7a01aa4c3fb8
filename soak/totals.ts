/** Totals that a soak prints at its end. */

/** Adds up counts by name. */
export class Totals {
  readonly #counts = new Map<string, number>();

  /** Adds to the count of a name. */
  add(name: string, count: number): this {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + count);
    return this;
  }

  /** Prints the counts, ordered by name. */
  print(): void {
    for (const [name, count] of [...this.#counts].sort()) {
      console.log(`${name}: ${count}`);
    }
  }
}
