/** Percentiles of unsorted values. */

/**
 * Gets a percentile of some values; undefined if there are none.
 * @param share - Share of the values below it, from 0 to 1.
 *
 * @example
 * ```ts
 * percentileOf([3, 1, 2], 0.5); // 2
 * ```
 */
export function percentileOf(
  values: readonly number[],
  share: number,
): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
