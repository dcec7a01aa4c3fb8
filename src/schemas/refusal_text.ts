/** Text of the reason for which input is refused. */
import { ZodError } from "zod";

const MAX_TEXT_LENGTH = 200;

/**
 * Gets in a few words why input was refused.
 *
 * @example
 * ```ts
 * refusalTextOf(new SyntaxError("Unexpected token")); // "Unexpected token"
 * ```
 */
export function refusalTextOf(err: unknown): string {
  const text = err instanceof ZodError
    ? err.issues.slice(0, 1)
      .map(({ path, message }) => `${path.join(".")}: ${message}`)
      .join()
    : String((err as Error).message);
  return text.slice(0, MAX_TEXT_LENGTH);
}
