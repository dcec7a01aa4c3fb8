/** Reads which tests `KNOWN-RED.txt` lists. */

/** Names of the listed tests, each as `<file> > <describe> > <name>`. */
export type KnownFailures = ReadonlySet<string>;

const SEPARATOR = " > ";
/** Line of an entry that names a test; nothing else of an entry does. */
const TEST_LINE = /^ {2}Test: (\S.*\S)$/;
/** What looks like such a line and is none, which is a mistake. */
const LOOKS_LIKE_TEST_LINE = /^[\s-]*tests?\s*:/i;
const TEST_FILE = /^[^\s/][^\s]*_test\.ts$/;
/** Parts of a full name: file, at least one `describe`, name. */
const MIN_PARTS = 3;

/**
 * Gets the tests that the text of `KNOWN-RED.txt` lists.
 *
 * @example
 * ```ts
 * parseKnownFailures("- Title\n  Test: a_test.ts > b > c\n");
 * ```
 * @throws Error where a line is almost, and not quite, one that names a test.
 */
export function parseKnownFailures(text: string): KnownFailures {
  const names = new Set<string>();
  let isInEntry = false;
  for (const [i, line] of text.split("\n").entries()) {
    isInEntry = line.startsWith("- ") || isInEntry && line.startsWith("  ");
    if (!LOOKS_LIKE_TEST_LINE.test(line)) continue;
    const name = TEST_LINE.exec(line)?.[1];
    if (name === undefined || !isInEntry || !isFullName(name)) {
      throw new Error(`KNOWN-RED.txt, line ${i + 1}: no full name of a test`);
    }
    if (names.has(name)) {
      throw new Error(`KNOWN-RED.txt, line ${i + 1}: ${name} is listed twice`);
    }
    names.add(name);
  }
  return names;
}

/** Gets the full name of a test. */
export function fullNameOf(file: string, name: string): string {
  return `${file}${SEPARATOR}${name}`;
}

function isFullName(name: string): boolean {
  const parts = name.split(SEPARATOR);
  return parts.length >= MIN_PARTS && TEST_FILE.test(parts[0]);
}
