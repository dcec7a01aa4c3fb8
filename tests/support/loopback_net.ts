/** A part of the loopback addresses that one process has to itself. */
import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

const FIRST_SECOND_NUMBER = 64;
const SECOND_NUMBERS = 64;
const THIRD_NUMBERS = 256;
const NETS = SECOND_NUMBERS * THIRD_NUMBERS;
/** Fourth number of the address whose port tells that a net is taken. */
const GUARD_NUMBER = 1;
/** Below the range from which the system picks ports. */
const GUARD_PORT = 16_999;

/**
 * Holds the addresses `127.x.y.*` until it is released or the process ends.
 *
 * A port of these addresses stays free between its choice and its use, since
 * nothing else on the machine that claims a net gets the same one.
 */
export class LoopbackNet {
  readonly #guard: Server;
  readonly #prefix: string;

  private constructor(guard: Server, prefix: string) {
    this.#guard = guard;
    this.#prefix = prefix;
  }

  /**
   * Claims a net that nobody holds.
   * @throws Error of the socket where the guard cannot listen.
   */
  static async claim(): Promise<LoopbackNet> {
    const first = randomInt(NETS);
    for (let i = 0; i < NETS; i += 1) {
      const prefix = prefixOf((first + i) % NETS);
      const guard = await guardOf(`${prefix}.${GUARD_NUMBER}`);
      if (guard !== undefined) return new LoopbackNet(guard, prefix);
    }
    throw new Error("Every loopback net is taken");
  }

  /** Gets the address with a fourth number, from 2 to 254. */
  addressOf(number: number): string {
    return `${this.#prefix}.${number}`;
  }

  /** Lets others claim the net. */
  release(): void {
    this.#guard.close();
  }
}

function prefixOf(net: number): string {
  const second = FIRST_SECOND_NUMBER + Math.floor(net / THIRD_NUMBERS);
  return `127.${second}.${net % THIRD_NUMBERS}`;
}

/** Listens at an address, or gets undefined where another does. */
function guardOf(host: string): Promise<Server | undefined> {
  const guard = createServer((socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    guard.once("error", (err: NodeJS.ErrnoException) => {
      if (err.code === "EADDRINUSE") resolve(undefined);
      else reject(err);
    });
    guard.listen(GUARD_PORT, host, () => {
      guard.unref();
      resolve(guard);
    });
  });
}
