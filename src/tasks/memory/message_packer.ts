/** Encoding of values as MessagePack. */
import { type Options, Packr, RESERVE_START_SPACE } from "msgpackr";
import { LARGE_BUFFER_BYTES, RECLAIMER } from "./memory_reclaimer.ts";

const FRESH_BYTES = 8_192;

/**
 * Encodes values, also large ones, whose memory the library would otherwise keep
 * for all later ones.
 *
 * @example
 * ```ts
 * const bytes = new MessagePacker({ useRecords: false }).pack({ a: 1 });
 * ```
 */
export class MessagePacker {
  readonly #packr: Packr;

  constructor(options: Options) {
    this.#packr = new Packr(options);
  }

  /**
   * Encodes a value.
   * @param headBytes - Bytes before it that the caller fills, at most 255.
   */
  pack(value: unknown, headBytes = 0): Buffer {
    const bytes = this.#packr.pack(value, RESERVE_START_SPACE + headBytes);
    if (bytes.length < LARGE_BUFFER_BYTES) return bytes;
    this.#packr.useBuffer(Buffer.allocUnsafeSlow(FRESH_BYTES));
    // What it outgrew takes as much.
    RECLAIMER.addLongLived(bytes.length);
    return bytes;
  }

  /** Decodes a value; its byte strings share the memory of the bytes. */
  unpack(bytes: Buffer): unknown {
    return this.#packr.unpack(bytes);
  }
}
