/** Runs many cases of a test beside each other. */

const MAX_RUNNING = 32;

/** Runs a function for each case, a limited number at a time. */
export async function runAll<T>(
  cases: readonly T[],
  run: (one: T) => Promise<void>,
): Promise<void> {
  const waiting = [...cases];
  const work = async () => {
    for (let next = waiting.shift(); next; next = waiting.shift()) {
      await run(next);
    }
  };
  await Promise.all(Array.from({ length: MAX_RUNNING }, work));
}
