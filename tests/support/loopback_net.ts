/** Loopback networks that are reserved for one process at a time. */
import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

const FIRST_SECOND_OCTET = 64;
const SECOND_OCTET_COUNT = 64;
const THIRD_OCTET_COUNT = 256;
const NET_COUNT = SECOND_OCTET_COUNT * THIRD_OCTET_COUNT;
/** Last octet of the address whose guard port marks a network as claimed. */
const GUARD_OCTET = 1;
/** Below the ephemeral port range. */
const GUARD_PORT = 16_999;

/**
 * Reserves the addresses `127.x.y.*` until released or the process ends.
 *
 * Concurrent test runs on one machine get different networks, so no other run
 * can take a chosen port before it is used.
 */
export class LoopbackNet {
  readonly #guard: Server;
  readonly #prefix: string;

  private constructor(guard: Server, prefix: string) {
    this.#guard = guard;
    this.#prefix = prefix;
  }

  /**
   * Claims a free network.
   * @throws Error if all networks are claimed, or the guard socket fails for
   * a reason other than an address in use.
   */
  static async claim(): Promise<LoopbackNet> {
    const first = randomInt(NET_COUNT);
    for (let i = 0; i < NET_COUNT; i += 1) {
      const prefix = prefixOf((first + i) % NET_COUNT);
      const guard = await listenAsGuard(`${prefix}.${GUARD_OCTET}`);
      if (guard !== undefined) return new LoopbackNet(guard, prefix);
    }
    throw new Error(
      "All loopback networks 127.64.0.* to 127.127.255.* are claimed",
    );
  }

  /**
   * Gets an address of the network.
   * @param octet - Last octet, from 2 to 254.
   */
  addressOf(octet: number): string {
    return `${this.#prefix}.${octet}`;
  }

  /** Releases the network for other processes. */
  release(): void {
    this.#guard.close();
  }
}

function prefixOf(net: number): string {
  const secondOctet = FIRST_SECOND_OCTET + Math.floor(net / THIRD_OCTET_COUNT);
  return `127.${secondOctet}.${net % THIRD_OCTET_COUNT}`;
}

/** Listens on the guard port, or gets undefined where it is in use. */
function listenAsGuard(host: string): Promise<Server | undefined> {
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
