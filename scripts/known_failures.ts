/** Parses the list of known failures, `KNOWN-RED.txt`. */

/** Names of the listed tests, each as `<file> > <describe> > <name>`. */
export type KnownFailures = ReadonlySet<string>;

const SEPARATOR = " > ";
/**
 * Matches the line that names a test; the remainder of an entry is free text.
 */
const TEST_LINE = /^ {2}Test: (\S.*\S)$/;
/** Matches lines that must be test lines, so that misspellings are errors. */
const LOOKS_LIKE_TEST_LINE = /^[\s-]*tests?\s*:/i;
const TEST_FILE = /^[^\s/][^\s]*_test\.ts$/;
/** Minimum parts of a full name: file, one `describe`, name. */
const MIN_PARTS = 3;

/**
 * Gets the full names of the tests listed in the text of `KNOWN-RED.txt`.
 *
 * @example
 * ```ts
 * parseKnownFailures("- Title\n  Test: a_test.ts > b > c\n");
 * ```
 * @throws Error for a malformed test line, one outside an entry, or a
 * duplicate.
 */
export function parseKnownFailures(text: string): KnownFailures {
  const names = new Set<string>();
  let isInEntry = false;
  for (const [i, line] of text.split("\n").entries()) {
    isInEntry = line.startsWith("- ") || isInEntry && line.startsWith("  ");
    if (!LOOKS_LIKE_TEST_LINE.test(line)) continue;
    const name = TEST_LINE.exec(line)?.[1];
    if (name === undefined || !isInEntry || !isFullTestName(name)) {
      throw new Error(
        `KNOWN-RED.txt, line ${i + 1}: malformed test line or not in an entry`,
      );
    }
    if (names.has(name)) {
      throw new Error(`KNOWN-RED.txt, line ${i + 1}: ${name} is listed twice`);
    }
    names.add(name);
  }
  return names;
}

/** Gets the full name of a test, as `<file> > <describe> > <name>`. */
export function fullTestName(file: string, name: string): string {
  return `${file}${SEPARATOR}${name}`;
}

function isFullTestName(name: string): boolean {
  const parts = name.split(SEPARATOR);
  return parts.length >= MIN_PARTS && TEST_FILE.test(parts[0]);
}
