/** Digests of texts that a replica does not have. */

/** What tells a text from others, and shows that it is whole. */
export interface TextDigest {
  /** Length of the text in UTF-8, in bytes. */
  readonly length: number;
  /** CRC-32 of the text in UTF-8. */
  readonly checksum: number;
}

/**
 * Checks whether two digests are of the same text.
 *
 * @example
 * ```ts
 * isSameText(location, { length: 4, checksum: 0xd87f7e0c });
 * ```
 */
export function isSameText(a: TextDigest, b: TextDigest): boolean {
  return a.length === b.length && a.checksum === b.checksum;
}
