/** Periodic health probes of targets. */
import { assignProber, TargetPhase } from "../../core/routing/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { DispatchTask } from "./dispatch_task.ts";
import type { HealthResponse } from "./target_prober.ts";

/** Health of a target, as published by the instance that probed it. */
export interface SharedHealth extends HealthResponse {
  readonly targetId: string;
}

/** Options of {@link ProbeTask}. */
export interface ProbeTaskOptions {
  /** ID of this instance. */
  readonly id: string;
  /** Receives the health of targets. */
  readonly dispatch: DispatchTask;
  readonly logger: Logger;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Interval between probes of a target, in milliseconds. */
  readonly intervalMs: number;
  /** Time without contact after which a target is removed, in milliseconds. */
  readonly ttlMs: number;
  /**
   * Gets the IDs of all instances that share the probes, including this one.
   */
  readonly probers: () => readonly string[];
  /** Publishes probed health to the other instances. */
  readonly publish: (found: readonly SharedHealth[]) => void;
}

/**
 * Probe intervals without published health after which this instance probes a
 * target that is assigned to another one.
 */
const TAKEOVER_INTERVALS = 4;
/** Relative change of a target's load from which it is published. */
const LOAD_CHANGE_THRESHOLD = 0.25;
/** Probe intervals after which unchanged health is published again. */
const REPUBLISH_INTERVALS = 3;

interface PublishedHealth {
  readonly load: number;
  readonly version: number | undefined;
  readonly incarnation: string;
  readonly at: number;
}

/**
 * Probes the targets assigned to this instance and publishes changes, so that
 * each target is normally probed by only one instance. Removes targets that
 * have been unreachable for too long or have finished leaving.
 */
export class ProbeTask {
  readonly #options: ProbeTaskOptions;
  /** Time of the last contact, by target ID. */
  readonly #lastContactAt = new Map<string, number>();
  /** Time of the last health from another instance, by target ID. */
  readonly #receivedAt = new Map<string, number>();
  /** Health last published by this instance, by target ID. */
  readonly #published = new Map<string, PublishedHealth>();
  /** IDs of the targets that did not respond to their last probe. */
  readonly #unreachable = new Set<string>();
  readonly #timer: NodeJS.Timeout;

  /** Creates the task; its timer starts at once. */
  constructor(options: ProbeTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#probeAll().catch((err) => options.logger.error(err));
    }, options.intervalMs);
  }

  /**
   * Records that a target has been in contact, for example by announcing
   * itself.
   */
  onContact(targetId: string): this {
    this.#lastContactAt.set(targetId, this.#options.now());
    return this;
  }

  /** Applies health published by another instance. */
  onSharedHealth(found: readonly SharedHealth[]): this {
    const { dispatch, now } = this.#options;
    for (const health of found) {
      const at = now();
      this.#receivedAt.set(health.targetId, at);
      this.onContact(health.targetId);
      const load = { ...health.load, at };
      dispatch.mergeHealth(health.targetId, { ...health, load });
    }
    return this;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #probeAll(): Promise<void> {
    const { dispatch, publish } = this.#options;
    const targets = dispatch.dispatcher.targets.list();
    const found: SharedHealth[] = [];
    await Promise.all(targets.map(async (target) => {
      const { id } = target;
      if (target.phase === TargetPhase.Leaving && target.inFlight === 0) {
        this.#remove(id);
        return;
      }
      if (!this.#isDue(id)) return;
      const health = await this.#probe(id);
      if (health !== undefined) found.push({ ...health, targetId: id });
    }));
    const changed = found.filter((health) => this.#shouldPublish(health));
    if (changed.length > 0) publish(changed);
  }

  #isDue(targetId: string): boolean {
    const { id, probers, now, intervalMs } = this.#options;
    if (assignProber(targetId, probers()) === id) return true;
    const receivedAt = this.#receivedAt.get(targetId) ?? -Infinity;
    return now() - receivedAt > intervalMs * TAKEOVER_INTERVALS;
  }

  #shouldPublish(health: SharedHealth): boolean {
    const { now, intervalMs } = this.#options;
    const { targetId, incarnation } = health;
    const load = health.load.running + health.load.waiting;
    const version = health.weightVersion;
    const published = this.#published.get(targetId);
    const isUnchanged = published !== undefined &&
      published.incarnation === incarnation &&
      published.version === version &&
      Math.abs(load - published.load) <=
        LOAD_CHANGE_THRESHOLD * Math.max(4, published.load) &&
      now() - published.at < intervalMs * REPUBLISH_INTERVALS;
    if (isUnchanged) return false;
    this.#published.set(targetId, { load, version, incarnation, at: now() });
    return true;
  }

  async #probe(targetId: string): Promise<HealthResponse | undefined> {
    const { dispatch, logger, now, ttlMs } = this.#options;
    const health = await dispatch.probe(targetId);
    if (health !== undefined) {
      this.#unreachable.delete(targetId);
      this.onContact(targetId);
      return health;
    }
    if (!this.#unreachable.has(targetId)) {
      this.#unreachable.add(targetId);
      logger.event("targetUnreachable", { target: targetId });
    }
    const lastContactAt = this.#lastContactAt.get(targetId) ?? now();
    this.#lastContactAt.set(targetId, lastContactAt);
    if (now() - lastContactAt >= ttlMs) this.#remove(targetId);
    return undefined;
  }

  #remove(targetId: string): void {
    this.#lastContactAt.delete(targetId);
    this.#receivedAt.delete(targetId);
    this.#published.delete(targetId);
    this.#unreachable.delete(targetId);
    this.#options.dispatch.remove(targetId);
  }
}
