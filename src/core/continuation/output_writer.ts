/** The rule by which another target may continue an output. */
import type { TargetReport } from "../registry/mod.ts";

/**
 * The targets that wrote the events of an output. Software versions are opaque;
 * outputs of two versions must not be joined.
 */
export interface OutputWriter {
  readonly service: string;
  /**
   * Software version of the incarnation that answered; undefined if unknown, as
   * for a target that did not name its incarnation.
   */
  readonly software: string | undefined;
}

/**
 * Gets whether a target may continue an output: its software version is known
 * and the one that wrote the events so far. Unknown versions never match.
 * @param written - Who wrote the events; undefined if there are none.
 *
 * @example
 * ```ts
 * const written = { service: "planner", software: "v1" };
 * mayContinue(written, { service: "planner", software: "v1.1" }); // false
 * ```
 */
export function mayContinue(
  written: OutputWriter | undefined,
  target: Pick<TargetReport, "service" | "software">,
): boolean {
  if (written === undefined) return true;
  if (written.software === undefined) return false;
  return written.service === target.service &&
    written.software === target.software;
}

/**
 * Gets the software versions of a service that have fewer targets than another
 * one: few targets can continue what they wrote, so work that any target could
 * do goes to others first.
 *
 * @example
 * ```ts
 * scarceVersionsOf([{ software: "v1" }, ...newer]); // Set { "v1" }
 * ```
 */
export function scarceVersionsOf(
  targets: readonly Pick<TargetReport, "software">[],
): ReadonlySet<string | undefined> {
  const counts = new Map<string | undefined, number>();
  for (const { software } of targets) {
    counts.set(software, (counts.get(software) ?? 0) + 1);
  }
  const most = Math.max(0, ...counts.values());
  const scarce = [...counts].filter(([, count]) => count < most);
  return new Set(scarce.map(([software]) => software));
}
