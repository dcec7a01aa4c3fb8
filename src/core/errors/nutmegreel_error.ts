/** Base class of errors. */

/** Base class of the errors thrown by the project. */
export class NutmegreelError extends Error {
  /** Stable code for comparison by programs. */
  readonly code: string;

  /**
   * Creates the error.
   *
   * @param code - Stable code, in camelCase.
   * @param message - Text in sentence case, without a final period.
   */
  constructor(code: string, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
    this.code = code;
  }
}
