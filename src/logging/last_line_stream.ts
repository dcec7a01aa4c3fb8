/** Stream of the last lines of a process. */
import { writeSync } from "node:fs";
import { Writable } from "node:stream";

const STDOUT = 1;
const STDERR = 2;
/** Time for which a full pipe is tried again, in milliseconds. */
const MAX_WAIT_MS = 200;

/** Options of {@link LastLineStream}. */
export interface LastLineStreamOptions {
  /** Whether standard output holds a part of a line so far. */
  readonly isWithinLine: () => boolean;
  /** Writes to a descriptor; may throw as `writeSync` does. */
  readonly write?: (descriptor: number, bytes: Uint8Array) => number;
}

/**
 * Writes lines at once to standard output or, if that is closed or full, to
 * standard error. Waits for neither longer than 200 ms.
 *
 * @example
 * ```ts
 * new LastLineStream({ isWithinLine: () => false }).write(line);
 * ```
 */
export class LastLineStream extends Writable {
  readonly #options: LastLineStreamOptions;

  /** Creates the stream. */
  constructor(options: LastLineStreamOptions) {
    super({ decodeStrings: true });
    this.#options = options;
  }

  /** @internal */
  override _write(line: Uint8Array, _encoding: string, done: () => void): void {
    const start = this.#options.isWithinLine() ? "\n" : "";
    const text = Buffer.concat([Buffer.from(start), line]);
    if (!this.#tryWrite(STDOUT, text)) this.#tryWrite(STDERR, line);
    done();
  }

  /** Writes all bytes; gets whether the descriptor took them. */
  #tryWrite(descriptor: number, bytes: Uint8Array): boolean {
    const { write = writeSync } = this.#options;
    const endsAt = performance.now() + MAX_WAIT_MS;
    let written = 0;
    while (written < bytes.length) {
      try {
        written += write(descriptor, bytes.subarray(written));
      } catch (err) {
        if ((err as NodeJS.ErrnoException).code !== "EAGAIN") return false;
        if (performance.now() > endsAt) return false;
      }
    }
    return true;
  }
}
