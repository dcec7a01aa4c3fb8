/** A listener whose process accepts no connections. */
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";

/** Connections that fill the queue of a listener with a backlog of 1. */
const QUEUED_CONNECTIONS = 4;

/** Blocks after it listens: connections beyond its queue get no answer. */
const LISTENER_CODE = `
const { parentPort, workerData } = require("node:worker_threads");
const server = require("node:net").createServer();
server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
  parentPort.postMessage(server.address().port);
  setImmediate(() => Atomics.wait(new Int32Array(workerData), 0, 0));
});
`;

/** Keeps connection attempts to its address without an answer. */
export class BlockedListener {
  readonly address: string;
  readonly #worker: Worker;
  readonly #gate: SharedArrayBuffer;
  readonly #queued: readonly Socket[];

  private constructor(parts: {
    port: number;
    worker: Worker;
    gate: SharedArrayBuffer;
  }) {
    this.address = `127.0.0.1:${parts.port}`;
    this.#worker = parts.worker;
    this.#gate = parts.gate;
    this.#queued = Array.from(
      { length: QUEUED_CONNECTIONS },
      () => connect(parts.port, "127.0.0.1").on("error", () => {}),
    );
  }

  /** Starts the listener and fills its queue. */
  static async start(): Promise<BlockedListener> {
    const gate = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(LISTENER_CODE, { eval: true, workerData: gate });
    const port = await new Promise<number>((resolve) =>
      worker.once("message", resolve)
    );
    const listener = new BlockedListener({ port, worker, gate });
    await new Promise<void>((resolve) =>
      listener.#queued[0].once("connect", resolve)
    );
    return listener;
  }

  async stop(): Promise<void> {
    for (const socket of this.#queued) socket.destroy();
    Atomics.notify(new Int32Array(this.#gate), 0);
    await this.#worker.terminate();
  }
}
