/** Randomness of the running process, for decisions that are passed it in. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a source of random numbers in the range [0, 1), which differs between
 * processes and between starts.
 *
 * @example
 * ```ts
 * const random = createRandom();
 * random(); // 0.27
 * ```
 */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(Date.now() ^ process.pid);
  return () => uniformFloat64(generator);
}
