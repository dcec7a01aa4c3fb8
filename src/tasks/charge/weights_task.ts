/** Brings new weights to the targets of a data centre, in waves. */
import { type Agent, request } from "undici";
import {
  type Target,
  TargetEvent,
  TargetPhase,
} from "../../core/routing/mod.ts";
import { planSwaps } from "../../core/weights/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import type { DispatchTask } from "../targets/mod.ts";

/** Standing of the process that orders a data centre's targets. */
export interface TargetAuthority {
  /** Time for which orders may be sent, in milliseconds; 0 for none. */
  readonly leftMs: number;
  /** Fencing numbers: epoch and view of the ledger. */
  readonly epoch: number;
  readonly view: number;
}

/** Options of {@link WeightsTask}. */
export interface WeightsTaskOptions {
  /** Control log, for announced versions. */
  readonly control: ControlPort;
  /** Owner of the targets. */
  readonly dispatch: DispatchTask;
  /** Connections to targets. */
  readonly agent: Agent;
  /** Credential presented to targets. */
  readonly credential?: string;
  /** Gets the standing of this process. */
  readonly authority: () => TargetAuthority;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
}

const DEFAULT_SWAP_SHARE = 0.3;
const DEFAULT_FETCHES = 8;
const LOAD_TIMEOUT_MS = 30_000;
/** Longest time between an order and its acceptance. */
const LONGEST_SEND_MS = 1_000;
const RETRY_AFTER_MS = 500;
const WEIGHTS_PATH = "/weights";

/** Orders targets to load weights, while this process may order them. */
export class WeightsTask {
  readonly #options: WeightsTaskOptions;
  readonly #swapping = new Set<string>();
  readonly #notBefore = new Map<string, number>();
  #sequence = 0;

  /** Creates the task. */
  constructor(options: WeightsTaskOptions) {
    this.#options = options;
  }

  /** Orders what may be ordered now. */
  run(): void {
    const { control, authority } = this.#options;
    if (authority().leftMs < LONGEST_SEND_MS) return;
    for (const [model, { version }] of control.state.weights) {
      this.#runModel(model, version);
    }
  }

  #runModel(model: string, newest: number): void {
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
      maxSwapShare: settings?.maxSwapShare ?? DEFAULT_SWAP_SHARE,
      maxFetches: settings?.maxFetches ?? DEFAULT_FETCHES,
      now: now(),
    });
    for (const id of chosen) {
      const target = dispatch.dispatcher.targets.get(id);
      if (target === undefined) continue;
      this.#swap(target, { model, version: newest })
        .catch((err) => this.#options.logger.error(err, { target: id }));
    }
  }

  async #swap(
    target: Target,
    order: { model: string; version: number },
  ): Promise<void> {
    const { dispatch, logger, now } = this.#options;
    const { id } = target;
    this.#swapping.add(id);
    dispatch.sendTargetEvent(id, TargetEvent.SwapStart);
    const isLoaded = await this.#send(target, order);
    const { version } = order;
    if (isLoaded) {
      dispatch.announce({ ...target.announcement, weightVersion: version });
      logger.event("weightsLoaded", { target: id, version });
    } else {
      this.#notBefore.set(id, now() + RETRY_AFTER_MS);
      logger.event("weightsFailed", { target: id, version });
    }
    this.#swapping.delete(id);
    dispatch.sendTargetEvent(id, TargetEvent.SwapEnd);
    this.run();
  }

  async #send(
    target: Target,
    order: { model: string; version: number },
  ): Promise<boolean> {
    const { agent, authority, credential } = this.#options;
    const { epoch, view, leftMs } = authority();
    if (leftMs < LONGEST_SEND_MS) return false;
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
        dispatcher: agent,
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
