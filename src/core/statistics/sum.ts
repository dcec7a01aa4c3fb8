/** Sums of values. */

/**
 * Gets the sum of a figure of some elements.
 *
 * @example
 * ```ts
 * sumOf(["a", "bc"], (text) => text.length); // 3
 * ```
 */
export function sumOf<T>(
  elements: readonly T[],
  valueOf: (element: T) => number,
): number {
  return elements.reduce((sum, element) => sum + valueOf(element), 0);
}
