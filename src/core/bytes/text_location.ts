/** Places of texts in the files of a replica. */
import type { TextDigest } from "./text_digest.ts";

/** Place of a text in the files of a replica. */
export interface TextLocation extends TextDigest {
  /** Number of the file. */
  readonly file: number;
  /** Position in the file, in bytes. */
  readonly offset: number;
}
