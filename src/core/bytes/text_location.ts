/** Places of texts in the files of a replica. */

/** Place of a text in the files of a replica. */
export interface TextLocation {
  /** Number of the file. */
  readonly file: number;
  /** Position in the file, in bytes. */
  readonly offset: number;
  /** Length of the text in UTF-8, in bytes. */
  readonly length: number;
  /** CRC-32 of the text in UTF-8. */
  readonly checksum: number;
}
