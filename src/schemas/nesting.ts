/** Bounds of the nesting of what other writers send. */

/** Maximum depth of a body in JSON. */
export const MAX_BODY_DEPTH = 64;
/** Maximum depth of a message between instances, which may hold a body. */
export const MAX_MESSAGE_DEPTH = 128;

/**
 * Gets whether a decoded value is nested deeper than a bound. Encoders, loggers
 * and schemas recurse into values, and the stack bounds what they bear.
 *
 * @example
 * ```ts
 * isNestedDeeper([[[]]], 2); // true
 * ```
 */
export function isNestedDeeper(
  value: unknown,
  maxDepth = MAX_MESSAGE_DEPTH,
): boolean {
  if (value === null || typeof value !== "object") return false;
  if (ArrayBuffer.isView(value)) return false;
  if (maxDepth === 0) return true;
  if (Array.isArray(value)) {
    for (const item of value) {
      if (isNestedDeeper(item, maxDepth - 1)) return true;
    }
    return false;
  }
  for (const key in value) {
    const member = (value as Readonly<Record<string, unknown>>)[key];
    if (isNestedDeeper(member, maxDepth - 1)) return true;
  }
  return false;
}

/**
 * Parses JSON that is not nested deeper than {@link MAX_BODY_DEPTH}.
 * @throws SyntaxError if it is, or if the text is not JSON.
 *
 * @example
 * ```ts
 * parseBoundedJson('{"seq":4}'); // { seq: 4 }
 * ```
 */
export function parseBoundedJson(
  text: string,
  maxDepth = MAX_BODY_DEPTH,
): unknown {
  if (isTextNestedDeeper(text, maxDepth)) {
    throw new SyntaxError(
      `JSON is nested deeper than ${maxDepth} levels`,
    );
  }
  return JSON.parse(text);
}

const STRUCTURE = /["[\]{}]/g;

function isTextNestedDeeper(text: string, maxDepth: number): boolean {
  const structure = new RegExp(STRUCTURE);
  let depth = 0;
  for (
    let found = structure.exec(text);
    found !== null;
    found = structure.exec(text)
  ) {
    const [character] = found;
    if (character === '"') {
      structure.lastIndex = endOfString(text, structure.lastIndex);
    } else if (character === "[" || character === "{") {
      depth += 1;
      if (depth > maxDepth) return true;
    } else depth -= 1;
  }
  return false;
}

/** Gets the position after a string that has begun; the end if it is open. */
function endOfString(text: string, start: number): number {
  let from = start;
  for (;;) {
    const quote = text.indexOf('"', from);
    if (quote < 0) return text.length;
    if (!isEscaped(text, quote)) return quote + 1;
    from = quote + 1;
  }
}

function isEscaped(text: string, at: number): boolean {
  let backslashes = 0;
  while (text[at - 1 - backslashes] === "\\") backslashes += 1;
  return backslashes % 2 === 1;
}
