/** Finds the place of a syntax error in a JSON document. */

/** A place in a text; lines and columns start at 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

const POSITION_PATTERN = / at position (\d+)/;
/** Some messages quote the text around the error instead of its position. */
const EXCERPT_PATTERN =
  /^Unexpected token .+?, \.\.\."([\s\S]*?)"(?:\.\.\.)? is not valid JSON$/u;
/** Characters before the error that an excerpt starts with. */
const EXCERPT_LEAD = 10;

/**
 * Gets the place of a syntax error; undefined if it is not known. The message
 * of the error may quote the document, secrets included, and is not for output.
 *
 * @example
 * ```ts
 * getJsonPosition(source, err); // { line: 3, column: 1 }
 * ```
 */
export function getJsonPosition(
  source: string,
  error: SyntaxError,
): TextPosition | undefined {
  const offset = getOffset(source, error.message);
  if (offset === undefined) return undefined;
  const before = source.slice(0, offset).split("\n");
  return { line: before.length, column: before[before.length - 1].length + 1 };
}

function getOffset(source: string, message: string): number | undefined {
  const position = POSITION_PATTERN.exec(message)?.[1];
  if (position !== undefined) return Number(position);
  if (message === "Unexpected end of JSON input") return source.length;
  const excerpt = EXCERPT_PATTERN.exec(message)?.[1];
  if (excerpt === undefined) return undefined;
  const start = source.indexOf(excerpt);
  if (start < 0 || source.indexOf(excerpt, start + 1) >= 0) return undefined;
  return start + EXCERPT_LEAD;
}
