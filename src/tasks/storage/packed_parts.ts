/** Encoding of large values in parts. */

/** Encodes values as MessagePack. */
export interface ValuePacker {
  pack(value: unknown): Buffer;
}

/** Size from which a part is handed out, in bytes. */
const PART_BYTES = 131_072;
/** Levels of lists and objects that are encoded member by member. */
const MAX_DEPTH = 8;
const LIST_32 = 0xdd;
const MAP_32 = 0xdf;
const HEADER_BYTES = 5;

/**
 * Encodes a value as MessagePack, in parts that follow each other.
 *
 * @example
 * ```ts
 * for (const part of packInParts(packer, value)) await write(part);
 * ```
 */
export function* packInParts(
  packer: ValuePacker,
  value: unknown,
): Iterable<Buffer> {
  let pieces: Buffer[] = [];
  let bytes = 0;
  for (const piece of packPieces(packer, value, MAX_DEPTH)) {
    pieces.push(piece);
    bytes += piece.length;
    if (bytes < PART_BYTES) continue;
    yield Buffer.concat(pieces);
    pieces = [];
    bytes = 0;
  }
  if (bytes > 0) yield Buffer.concat(pieces);
}

function* packPieces(
  packer: ValuePacker,
  value: unknown,
  depth: number,
): Iterable<Buffer> {
  if (depth > 0 && Array.isArray(value)) {
    yield packHeader(LIST_32, value.length);
    for (const element of value) yield* packPieces(packer, element, depth - 1);
  } else if (depth > 0 && isPlain(value)) {
    const members = Object.entries(value);
    yield packHeader(MAP_32, members.length);
    for (const [key, member] of members) {
      yield packer.pack(key);
      yield* packPieces(packer, member, depth - 1);
    }
  } else yield packer.pack(value);
}

function packHeader(type: number, length: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt8(type, 0);
  header.writeUInt32BE(length, 1);
  return header;
}

function isPlain(value: unknown): value is object {
  return typeof value === "object" && value !== null &&
    Object.getPrototypeOf(value) === Object.prototype &&
    !("toJSON" in value);
}
