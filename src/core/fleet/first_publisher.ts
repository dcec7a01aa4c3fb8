/** Which control instance tells an instance of a change first. */

/** Input of {@link isFirstPublisher}. */
export interface FirstPublisherInput {
  /** Identifier of the control instance that asks. */
  readonly self: string;
  /** Identifier of the instance that is to be told. */
  readonly follower: string;
  /** Identifiers of the control instances that the follower has heard of late. */
  readonly heard: readonly string[];
  /** Checks whether a control instance is linked to the asking one. */
  readonly isLinked: (control: string) => boolean;
}

/**
 * Gets whether a control instance is the one that tells a follower of a change
 * at once, so that it is not told by each of those that it is linked to. One
 * that has heard of none is told by all.
 *
 * @example
 * ```ts
 * isFirstPublisher({ self: "c1", follower: "e1", heard: ["c1"], isLinked });
 * ```
 */
export function isFirstPublisher(
  { self, follower, heard, isLinked }: FirstPublisherInput,
): boolean {
  const publishers = heard
    .filter((control) => control === self || isLinked(control))
    .sort();
  if (!publishers.includes(self)) return true;
  return publishers[sumOfCodes(follower) % publishers.length] === self;
}

function sumOfCodes(text: string): number {
  let sum = 0;
  for (let i = 0; i < text.length; i += 1) sum += text.charCodeAt(i);
  return sum;
}
