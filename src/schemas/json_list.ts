/** Objects in JSON with a long list, which are parsed element by element. */
import { MAX_BODY_DEPTH, parseBoundedJson } from "./nesting.ts";

/** An object whose list is not parsed as a whole. */
export interface SplitObject {
  /** Its other members. */
  readonly members: Record<string, unknown>;
  /** Parses the elements of the list, in order; undefined without a list. */
  readonly elements: (() => Iterable<unknown>) | undefined;
}

/** Part of the bytes, from its start up to its end. */
interface Range {
  readonly start: number;
  readonly end: number;
}

const Byte = {
  Quote: 0x22,
  Comma: 0x2c,
  Colon: 0x3a,
  ListStart: 0x5b,
  Backslash: 0x5c,
  ListEnd: 0x5d,
  ObjectStart: 0x7b,
  ObjectEnd: 0x7d,
} as const;
const WHITE_SPACE: ReadonlySet<number> = new Set([0x20, 0x09, 0x0a, 0x0d]);
const OPENING: ReadonlySet<number> = new Set([
  Byte.ListStart,
  Byte.ObjectStart,
]);
const CLOSING: ReadonlySet<number> = new Set([Byte.ListEnd, Byte.ObjectEnd]);

/**
 * Splits an object in JSON, so that memory holds its bytes and one element of its
 * list, not the text and the values of all.
 *
 * @example
 * ```ts
 * const { members, elements } = splitJsonObject(bytes, "requests");
 * ```
 *
 * @param bytes - The object, in UTF-8.
 * @param listName - Name of the member that holds the list.
 * @throws SyntaxError if the bytes are no such object, now or as the elements are
 * parsed.
 */
export function splitJsonObject(bytes: Buffer, listName: string): SplitObject {
  const scanner = new Scanner(bytes);
  const members: Record<string, unknown> = {};
  let list: Range | undefined;
  scanner.expect(Byte.ObjectStart);
  for (let i = 0; !scanner.takeIf(Byte.ObjectEnd); i += 1) {
    if (i > 0) scanner.expect(Byte.Comma);
    const name = parseName(bytes, scanner.takeValue());
    scanner.expect(Byte.Colon);
    const range = scanner.takeValue();
    if (name === listName && bytes[range.start] === Byte.ListStart) {
      list = range;
    } else Object.assign(members, { [name]: parse(bytes, range, 1) });
  }
  scanner.expectEnd();
  const range = list;
  return {
    members,
    elements: range && (() => parseElements(bytes, range)),
  };
}

function* parseElements(bytes: Buffer, range: Range): Iterable<unknown> {
  const scanner = new Scanner(bytes.subarray(0, range.end), range.start);
  scanner.expect(Byte.ListStart);
  for (let i = 0; !scanner.takeIf(Byte.ListEnd); i += 1) {
    if (i > 0) scanner.expect(Byte.Comma);
    yield parse(bytes, scanner.takeValue(), 2);
  }
  scanner.expectEnd();
}

function parseName(bytes: Buffer, range: Range): string {
  const name = parse(bytes, range, 1);
  if (typeof name === "string") return name;
  throw new SyntaxError(`Expected a name in JSON at byte ${range.start}`);
}

function parse(bytes: Buffer, { start, end }: Range, level: number): unknown {
  const text = bytes.toString("utf8", start, end);
  return parseBoundedJson(text, MAX_BODY_DEPTH - level);
}

/** Finds where values begin and end, without a look at what they hold. */
class Scanner {
  readonly #bytes: Buffer;
  #at: number;

  constructor(bytes: Buffer, at = 0) {
    this.#bytes = bytes;
    this.#at = at;
  }

  /** Takes a byte if it comes next, after white space. */
  takeIf(byte: number): boolean {
    this.#skipWhiteSpace();
    if (this.#bytes[this.#at] !== byte) return false;
    this.#at += 1;
    return true;
  }

  /** Takes a byte that must come next. */
  expect(byte: number): void {
    if (!this.takeIf(byte)) this.#fail();
  }

  /** Checks that nothing is left but white space. */
  expectEnd(): void {
    this.#skipWhiteSpace();
    if (this.#at < this.#bytes.length) this.#fail();
  }

  /** Takes a value. */
  takeValue(): Range {
    this.#skipWhiteSpace();
    const start = this.#at;
    const first = this.#bytes[start];
    if (first === Byte.Quote) this.#skipString();
    else if (OPENING.has(first)) this.#skipNested();
    else this.#skipScalar();
    if (this.#at === start) this.#fail();
    return { start, end: this.#at };
  }

  #skipNested(): void {
    let depth = 0;
    do {
      const byte = this.#bytes[this.#at];
      if (byte === undefined) this.#fail();
      if (byte === Byte.Quote) {
        this.#skipString();
        continue;
      }
      if (OPENING.has(byte)) depth += 1;
      else if (CLOSING.has(byte)) depth -= 1;
      this.#at += 1;
    } while (depth > 0);
  }

  #skipString(): void {
    let end = this.#at;
    do {
      end = this.#bytes.indexOf(Byte.Quote, end + 1);
      if (end < 0) this.#fail();
    } while (this.#isEscaped(end));
    this.#at = end + 1;
  }

  /** Gets whether an odd number of backslashes precedes a byte. */
  #isEscaped(at: number): boolean {
    let first = at;
    while (this.#bytes[first - 1] === Byte.Backslash) first -= 1;
    return (at - first) % 2 === 1;
  }

  #skipScalar(): void {
    for (;; this.#at += 1) {
      const byte = this.#bytes[this.#at];
      if (byte === undefined || byte === Byte.Comma || byte === Byte.Colon) {
        return;
      }
      if (WHITE_SPACE.has(byte) || CLOSING.has(byte)) return;
    }
  }

  #skipWhiteSpace(): void {
    while (WHITE_SPACE.has(this.#bytes[this.#at])) this.#at += 1;
  }

  #fail(): never {
    throw new SyntaxError(`Unexpected JSON at byte ${this.#at}`);
  }
}
