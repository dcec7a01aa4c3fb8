/** Guard helpers that throw typed errors. */
import { NutmegreelError } from "./nutmegreel_error.ts";

/**
 * Throws where a value is undefined, else returns it.
 *
 * @example
 * ```ts
 * const route = throwIfUndefined(routes.get("planner"), "Unknown route");
 * ```
 * @param value - Value to check.
 * @param message - Message of the error.
 */
export function throwIfUndefined<T>(value: T | undefined, message: string): T {
  if (value === undefined) throw new NutmegreelError("notFound", message);
  return value;
}

/**
 * Throws where a number is outside a closed range.
 *
 * @example
 * ```ts
 * throwIfOutOfRange(weight, [0, 100], "weight");
 * ```
 */
export function throwIfOutOfRange(
  value: number,
  range: readonly [number, number],
  name = "value",
): void {
  if (value >= range[0] && value <= range[1]) return;
  throw new NutmegreelError(
    "outOfRange",
    `Expected ${name} between ${range[0]} and ${range[1]}, got ${value}`,
  );
}
