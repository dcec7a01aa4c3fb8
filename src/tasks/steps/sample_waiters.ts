/** Reads of a step that wait for its next sample. */

/** Makes reads wait until they are woken or time out. */
export class SampleWaiters {
  readonly #waiters = new Set<() => void>();

  /**
   * Waits until {@link SampleWaiters.wake} is called, at most for a time.
   * @example
   * await waiters.wait(10_000);
   */
  wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
    });
  }

  /** Ends all waits; a wait that begins later is not ended. */
  wake(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }
}
