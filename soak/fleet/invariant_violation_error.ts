/** Error for a violated invariant. */

/** Thrown if callers or targets have observed what must not happen. */
export class InvariantViolationError extends Error {
  /**
   * @param invariant - Invariant in words.
   * @param detail - Identifier or values that violate it.
   */
  constructor(invariant: string, detail: string) {
    super(`${invariant}: ${detail}`);
    this.name = "InvariantViolationError";
  }
}
