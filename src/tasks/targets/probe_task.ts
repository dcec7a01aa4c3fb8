/** Probes the targets at intervals and removes those that are gone. */
import { TargetPhase } from "../../core/routing/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { DispatchTask } from "./dispatch_task.ts";

/** Options of {@link ProbeTask}. */
export interface ProbeTaskOptions {
  /** Owner of the targets. */
  readonly dispatch: DispatchTask;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Time between two probes of a target, in milliseconds. */
  readonly intervalMs: number;
  /** Time without a sign of life after which a target is removed. */
  readonly ttlMs: number;
}

/** Keeps the targets' health up to date. */
export class ProbeTask {
  readonly #options: ProbeTaskOptions;
  readonly #seenAt = new Map<string, number>();
  readonly #silent = new Set<string>();
  readonly #timer: NodeJS.Timeout;

  /** Creates the task and starts its timer. */
  constructor(options: ProbeTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#probeAll(), options.intervalMs);
  }

  /** Records a sign of life, as an announcement. */
  onSeen(targetId: string): this {
    this.#seenAt.set(targetId, this.#options.now());
    return this;
  }

  /** Ends the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #probeAll(): void {
    const { dispatch, logger } = this.#options;
    for (const target of dispatch.dispatcher.targets.list()) {
      this.#probe(target.id).catch((err) => logger.error(err));
      if (target.phase !== TargetPhase.Leaving || target.inFlight > 0) continue;
      this.#remove(target.id);
    }
  }

  async #probe(targetId: string): Promise<void> {
    const { dispatch, logger, now, ttlMs } = this.#options;
    if (await dispatch.probe(targetId)) {
      this.#silent.delete(targetId);
      this.onSeen(targetId);
      return;
    }
    if (!this.#silent.has(targetId)) {
      this.#silent.add(targetId);
      logger.event("targetUnreachable", { target: targetId });
    }
    const seenAt = this.#seenAt.get(targetId) ?? now();
    this.#seenAt.set(targetId, seenAt);
    if (now() - seenAt >= ttlMs) this.#remove(targetId);
  }

  #remove(targetId: string): void {
    this.#seenAt.delete(targetId);
    this.#silent.delete(targetId);
    this.#options.dispatch.remove(targetId);
  }
}
