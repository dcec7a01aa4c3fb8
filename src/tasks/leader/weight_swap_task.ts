/** Rolling update of the weights of a data centre's targets. */
import { Agent, request } from "undici";
import {
  type Target,
  TargetEvent,
  TargetPhase,
} from "../../core/routing/mod.ts";
import { planSwaps } from "../../core/weights/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { DispatchTask } from "../targets/mod.ts";

/**
 * Authority of this process to send orders to the targets of its data centre.
 */
export interface TargetAuthority {
  /** Time for which orders may be sent, in milliseconds; 0 if they may not. */
  readonly leftMs: number;
  /** Epoch of the ledger, part of the fencing token. */
  readonly epoch: number;
  /** View of the ledger, part of the fencing token. */
  readonly view: number;
}

/** Options of {@link WeightSwapTask}. */
export interface WeightSwapTaskOptions {
  /** Control log, which holds the announced versions. */
  readonly control: ControlPort;
  /** Registry of the targets. */
  readonly dispatch: DispatchTask;
  /** Bearer token sent to targets. */
  readonly credential?: string;
  /** Gets the current authority of this process. */
  readonly authority: () => TargetAuthority;
  readonly logger: Logger;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
}

const DEFAULT_MAX_SWAP_SHARE = 0.3;
const DEFAULT_MAX_FETCHES = 8;
const LOAD_TIMEOUT_MS = 30_000;
/**
 * Maximum time between sending an order and its acceptance. An order is sent
 * only if the authority lasts at least that long.
 */
const MAX_SEND_MS = 1_000;
const RETRY_DELAY_MS = 500;
const WEIGHTS_PATH = "/weights";

/**
 * Orders targets to load new weights, a limited share of them at a time, while
 * this process has the authority to do so.
 */
export class WeightSwapTask {
  readonly #options: WeightSwapTaskOptions;
  readonly #agent = new Agent({ pipelining: 1 });
  /** IDs of the targets that are loading weights. */
  readonly #swapping = new Set<string>();
  /** Earliest time of the next attempt after a failure, by target ID. */
  readonly #notBefore = new Map<string, number>();
  #sequence = 0;

  constructor(options: WeightSwapTaskOptions) {
    this.#options = options;
  }

  /** Starts all swaps that are allowed at this time. */
  startSwaps(): void {
    const { control, authority } = this.#options;
    if (authority().leftMs < MAX_SEND_MS) return;
    for (const [model, { version }] of control.state.weights) {
      this.#swapModel(model, version);
    }
  }

  #swapModel(model: string, newest: number): void {
    const { dispatch, control, now } = this.#options;
    const targets = [...dispatch.dispatcher.targets.inPool(model)]
      .filter((target) => target.weightVersion !== undefined);
    const settings = control.state.configuration.document.models[model];
    const chosen = planSwaps({
      targets: targets.map((target) => ({
        id: target.id,
        version: target.weightVersion,
        isSwapping: this.#swapping.has(target.id),
        isServing: target.phase === TargetPhase.Serving,
        inFlight: target.inFlight,
        notBefore: this.#notBefore.get(target.id) ?? 0,
      })),
      newest,
      maxSwapShare: settings?.maxSwapShare ?? DEFAULT_MAX_SWAP_SHARE,
      maxFetches: settings?.maxFetches ?? DEFAULT_MAX_FETCHES,
      now: now(),
    });
    for (const id of chosen) {
      const target = dispatch.dispatcher.targets.get(id);
      if (target === undefined) continue;
      this.#swapTarget(target, { model, version: newest })
        .catch((err) => this.#options.logger.error(err, { target: id }));
    }
  }

  async #swapTarget(
    target: Target,
    order: { model: string; version: number },
  ): Promise<void> {
    const { dispatch, logger, now } = this.#options;
    const { id } = target;
    this.#swapping.add(id);
    dispatch.sendTargetEvent(id, TargetEvent.SwapStart);
    const isLoaded = await this.#sendLoadOrder(target, order);
    const { version } = order;
    if (isLoaded) {
      dispatch.announce({ ...target.announcement, weightVersion: version });
      logger.event("weightsLoaded", { target: id, version });
    } else {
      this.#notBefore.set(id, now() + RETRY_DELAY_MS);
      logger.event("weightsFailed", { target: id, version });
    }
    this.#swapping.delete(id);
    dispatch.sendTargetEvent(id, TargetEvent.SwapEnd);
    this.startSwaps();
  }

  /** Closes the connections of orders. */
  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendLoadOrder(
    target: Target,
    order: { model: string; version: number },
  ): Promise<boolean> {
    const { authority, credential } = this.#options;
    const { epoch, view, leftMs } = authority();
    if (leftMs < MAX_SEND_MS) return false;
    this.#sequence += 1;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "x-fencing-term": `${epoch}.${view}`,
      "x-fencing-sequence": String(this.#sequence),
    };
    if (credential !== undefined) {
      headers.authorization = `Bearer ${credential}`;
    }
    try {
      const res = await request(target.announcement.url + WEIGHTS_PATH, {
        method: "POST",
        dispatcher: this.#agent,
        idempotent: false,
        headers,
        body: JSON.stringify(order),
        signal: AbortSignal.timeout(LOAD_TIMEOUT_MS),
      });
      await res.body.dump();
      return res.statusCode < 300;
    } catch {
      return false;
    }
  }
}
