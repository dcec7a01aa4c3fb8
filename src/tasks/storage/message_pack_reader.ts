/** Reads MessagePack whose texts are to be held outside the heap. */
import { NutmegreelError } from "../../core/errors/mod.ts";

/** Decides which texts are held in another form than strings. */
export interface TextForms {
  /**
   * Gets the form of a text at a key; undefined for a string.
   * @param parent - Key of the map or list that holds the map.
   */
  readonly getText: (
    parent: string,
    key: string,
  ) => ((bytes: Uint8Array) => unknown) | undefined;
  /** Gets the form of a list of texts at a key; undefined for a plain list. */
  readonly getList: (
    parent: string,
    key: string,
  ) => ((texts: readonly Uint8Array[]) => unknown) | undefined;
}

/** Thrown for content that is not MessagePack of the kind that is written. */
export class MessagePackError extends NutmegreelError {
  /** @param offset - Position in the content, in bytes. */
  constructor(offset: number) {
    super("messagePack", `The content cannot be decoded at byte ${offset}`);
  }
}

type Reader = (this: void, reader: MessagePackReader) => unknown;

const FIXED_MAP = 0x80;
const FIXED_LIST = 0x90;
const FIXED_TEXT = 0xa0;
const NIL = 0xc0;
const NEGATIVE = 0xe0;
const BYTE_RANGE = 0x100;

/**
 * Decodes one value. Bytes and texts in other forms share the memory of the
 * content.
 *
 * @example
 * ```ts
 * new MessagePackReader(content, forms).read();
 * ```
 */
export class MessagePackReader {
  readonly #bytes: Buffer;
  readonly #forms: TextForms;
  #offset = 0;
  /** Key of the value that is read, and that of the map around it. */
  #key = "";
  #parent = "";

  constructor(bytes: Buffer, forms: TextForms) {
    this.#bytes = bytes;
    this.#forms = forms;
  }

  /**
   * Reads the next value.
   * @throws MessagePackError if there is none.
   */
  read(): unknown {
    const type = this.uint(1);
    if (type < FIXED_MAP) return type;
    if (type < FIXED_LIST) return this.map(type - FIXED_MAP);
    if (type < FIXED_TEXT) return this.list(type - FIXED_LIST);
    if (type < NIL) return this.text(type - FIXED_TEXT);
    if (type >= NEGATIVE) return type - BYTE_RANGE;
    const reader = READERS[type];
    if (reader === undefined) throw new MessagePackError(this.#offset);
    return reader(this);
  }

  /** Reads an unsigned integer of a number of bytes. */
  uint(size: number): number {
    const start = this.#take(size);
    return this.#bytes.readUIntBE(start, size);
  }

  /** Reads a signed integer of a number of bytes. */
  int(size: number): number {
    const start = this.#take(size);
    return this.#bytes.readIntBE(start, size);
  }

  float(): number {
    return this.#bytes.readFloatBE(this.#take(4));
  }

  double(): number {
    return this.#bytes.readDoubleBE(this.#take(8));
  }

  /** Reads bytes, which share the memory of the content. */
  binary(length: number): Uint8Array {
    const start = this.#take(length);
    return this.#bytes.subarray(start, start + length);
  }

  text(length: number): unknown {
    const create = this.#forms.getText(this.#parent, this.#key);
    return create === undefined
      ? this.#string(length)
      : create(this.binary(length));
  }

  list(length: number): unknown {
    const create = this.#forms.getList(this.#parent, this.#key);
    const list: unknown[] = [];
    for (let i = 0; i < length; i += 1) {
      list.push(create === undefined ? this.read() : this.#textBytes());
    }
    return create === undefined ? list : create(list as Uint8Array[]);
  }

  map(length: number): Record<string, unknown> {
    const [parent, own] = [this.#parent, this.#key];
    const map: Record<string, unknown> = {};
    for (let i = 0; i < length; i += 1) {
      const key = this.#mapKey();
      this.#parent = own;
      this.#key = key;
      const value = this.read();
      if (key === "__proto__") continue;
      map[key] = value;
    }
    this.#parent = parent;
    this.#key = own;
    return map;
  }

  /** Reads an extension of one byte; the one that is written is undefined. */
  extension(): undefined {
    if (this.uint(2) !== 0) throw new MessagePackError(this.#offset);
    return undefined;
  }

  #mapKey(): string {
    return this.#string(this.#textLength());
  }

  #textBytes(): Uint8Array {
    return this.binary(this.#textLength());
  }

  /** Reads the length of a text. */
  #textLength(): number {
    const type = this.uint(1);
    if (type >= FIXED_TEXT && type < NIL) return type - FIXED_TEXT;
    const size = TEXT_LENGTH_BYTES[type];
    if (size === undefined) throw new MessagePackError(this.#offset);
    return this.uint(size);
  }

  #string(length: number): string {
    const start = this.#take(length);
    return this.#bytes.toString("utf8", start, start + length);
  }

  /** Passes over bytes and gets their start. */
  #take(length: number): number {
    const start = this.#offset;
    if (start + length > this.#bytes.length) throw new MessagePackError(start);
    this.#offset += length;
    return start;
  }
}

/** Sizes of the lengths of texts, by type. */
const TEXT_LENGTH_BYTES: Readonly<Record<number, number>> = {
  0xd9: 1,
  0xda: 2,
  0xdb: 4,
};

/** Readers of the types whose value is not in the type itself. */
const READERS: Readonly<Record<number, Reader>> = {
  0xc0: () => null,
  0xc2: () => false,
  0xc3: () => true,
  0xc4: (reader) => reader.binary(reader.uint(1)),
  0xc5: (reader) => reader.binary(reader.uint(2)),
  0xc6: (reader) => reader.binary(reader.uint(4)),
  0xca: (reader) => reader.float(),
  0xcb: (reader) => reader.double(),
  0xcc: (reader) => reader.uint(1),
  0xcd: (reader) => reader.uint(2),
  0xce: (reader) => reader.uint(4),
  0xd0: (reader) => reader.int(1),
  0xd1: (reader) => reader.int(2),
  0xd2: (reader) => reader.int(4),
  0xd4: (reader) => reader.extension(),
  0xd9: (reader) => reader.text(reader.uint(1)),
  0xda: (reader) => reader.text(reader.uint(2)),
  0xdb: (reader) => reader.text(reader.uint(4)),
  0xdc: (reader) => reader.list(reader.uint(2)),
  0xdd: (reader) => reader.list(reader.uint(4)),
  0xde: (reader) => reader.map(reader.uint(2)),
  0xdf: (reader) => reader.map(reader.uint(4)),
};
