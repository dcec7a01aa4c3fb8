/** A target whose responses have no end. */
import { createServer, type Server, type Socket } from "node:net";
import { listen } from "../../../tests/support/target_requests.ts";
import {
  isStateRequest,
  STAND_IN_INCARNATION,
  STATE_RESPONSE,
} from "../../../tests/support/target_state.ts";
import { type EndlessBytes, EndlessWriter } from "./endless_writer.ts";

const REPORT_INTERVAL_MS = 300;
const REPORT_TIMEOUT_MS = 700;
const SLOTS = 64;

/** Options of {@link EndlessTarget}. */
export interface EndlessTargetOptions {
  readonly service: string;
  readonly model: string;
  readonly controls: readonly string[];
  readonly bytes: EndlessBytes;
}

/** Reports to the control instances, and answers with bytes without end. */
export class EndlessTarget {
  readonly #options: EndlessTargetOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: EndlessTargetOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** Listens, and reports from now on. */
  async start(): Promise<string> {
    const address = await listen(this.#server);
    const report = () => this.#report(address).catch(() => {});
    this.#timer = setInterval(report, REPORT_INTERVAL_MS);
    await report();
    return address;
  }

  /** Ends the reports and all connections. */
  stop(): void {
    clearInterval(this.#timer);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    let hasBegun = false;
    socket.on("data", (data) => {
      if (hasBegun) return;
      if (isStateRequest(data)) {
        socket.write(STATE_RESPONSE);
        return;
      }
      hasBegun = true;
      new EndlessWriter(socket, this.#options.bytes);
    });
  }

  async #report(address: string): Promise<void> {
    const { service, model, controls } = this.#options;
    const id = address.replace(/\D/g, "-");
    await Promise.all(controls.map(async (control) => {
      await fetch(`http://${control}/-/Instances.Heartbeat/${id}`, {
        method: "POST",
        signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
        body: JSON.stringify({
          service,
          address,
          zone: "a",
          version: "v1",
          slots: SLOTS,
          state: "ready",
          models: [{ name: model, version: 1, adapters: [] }],
          seq: Date.now(),
          born: STAND_IN_INCARNATION,
        }),
      });
    }));
  }
}
