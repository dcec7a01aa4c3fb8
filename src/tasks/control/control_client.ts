/** Requests of an instance to the leader of the control log. */
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { ControlDriver } from "./control_driver.ts";

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  /** ID of this instance. */
  readonly id: string;
  readonly hub: Pick<PeerHub, "controlPeers" | "isPresent" | "request">;
  /** Replica of the control log; undefined on instances without one. */
  readonly driver: Pick<ControlDriver, "leaderInstance"> | undefined;
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
}

const RETRY_AFTER_MS = 1_000;

/** Sends requests to the leader if known, else to a control instance. */
export class ControlClient {
  readonly #options: ControlClientOptions;

  constructor(options: ControlClientOptions) {
    this.#options = options;
  }

  /**
   * Sends a request.
   * @throws RefusalError if no control instance answers in time.
   */
  async request(method: string, params: unknown): Promise<unknown> {
    const { id, hub, driver, timeoutMs } = this.#options;
    const present = hub.controlPeers.filter((peer) => hub.isPresent(peer.id));
    const candidates = present.length > 0 ? present : hub.controlPeers;
    const to = driver?.leaderInstance ?? candidates[0]?.id;
    if (to === undefined || to === id) {
      throw createUnavailableError(Verdict.NotRun);
    }
    return await hub.request(to, method, { params, timeoutMs });
  }
}

/** Creates the refusal of a request for which the control log is out of reach. */
export function createUnavailableError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "The control log cannot be reached",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
