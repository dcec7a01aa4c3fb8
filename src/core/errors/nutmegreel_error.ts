/** The base class of the errors that the project throws. */

/** Represents an error of the project, with a stable code. */
export class NutmegreelError extends Error {
  /** Stable code that programs may compare. */
  readonly code: string;

  /**
   * Creates the error.
   * @param code - Stable code, in camelCase.
   * @param message - Sentence case text without a final period.
   */
  constructor(code: string, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
    this.code = code;
  }
}
