/** The time for which an instance may accept API keys under its policy. */
import type { ElapsedClock } from "../../core/clock/mod.ts";

/** Holds the lease, and lets requests wait for its renewal. */
export class PolicyLease {
  readonly #clock: Pick<ElapsedClock, "now">;
  #end = -Infinity;
  readonly #waiters = new Set<() => void>();

  constructor(clock: Pick<ElapsedClock, "now">) {
    this.#clock = clock;
  }

  /** Gets whether the lease is valid now. */
  get isValid(): boolean {
    return this.#clock.now() < this.#end;
  }

  /** Gets the time until the lease ends, in milliseconds; 0 if it has ended. */
  get leftMs(): number {
    return Math.max(0, this.#end - this.#clock.now());
  }

  /** Extends the lease; an earlier end than the current one is ignored. */
  extend(end: number): this {
    this.#end = Math.max(this.#end, end);
    for (const settle of [...this.#waiters]) settle();
    return this;
  }

  /** Waits for the next extension, for a limited time. */
  untilRenewed(timeoutMs: number): Promise<void> {
    return new Promise<void>((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiters.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, timeoutMs);
      this.#waiters.add(settle);
    });
  }
}
