/** Probes the targets at intervals and removes those that are gone. */
import { proberOf, TargetPhase } from "../../core/routing/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { DispatchTask } from "./dispatch_task.ts";
import type { HealthAnswer } from "./target_prober.ts";

/** What one instance tells the others of a target that it probed. */
export interface SharedHealth extends HealthAnswer {
  /** Target. */
  readonly targetId: string;
}

/** Options of {@link ProbeTask}. */
export interface ProbeTaskOptions {
  /** This instance. */
  readonly id: string;
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
  /** Gets all instances that share the probing, this one included. */
  readonly sharers: () => readonly string[];
  /** Tells the others what was found. */
  readonly share: (found: readonly SharedHealth[]) => void;
}

/** Intervals without word of another's target before it is probed here. */
const SILENT_INTERVALS = 4;
/** Change of the load that is worth telling, as a share of it. */
const WORTH_TELLING = 0.25;
/** Intervals after which even unchanged health is told again. */
const RETELL_INTERVALS = 3;

interface Told {
  readonly load: number;
  readonly version: number | undefined;
  readonly incarnation: string;
  readonly at: number;
}

/** Keeps the targets' health up to date, together with the neighbours. */
export class ProbeTask {
  readonly #options: ProbeTaskOptions;
  readonly #seenAt = new Map<string, number>();
  readonly #heardAt = new Map<string, number>();
  readonly #told = new Map<string, Told>();
  readonly #silent = new Set<string>();
  readonly #timer: NodeJS.Timeout;

  /** Creates the task and starts its timer. */
  constructor(options: ProbeTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#probeAll().catch((err) => options.logger.error(err));
    }, options.intervalMs);
  }

  /** Records a sign of life, as an announcement. */
  onSeen(targetId: string): this {
    this.#seenAt.set(targetId, this.#options.now());
    return this;
  }

  /** Takes in what another instance has found. */
  onShared(found: readonly SharedHealth[]): this {
    const { dispatch, now } = this.#options;
    for (const health of found) {
      const at = now();
      this.#heardAt.set(health.targetId, at);
      this.onSeen(health.targetId);
      const load = { ...health.load, at };
      dispatch.takeHealth(health.targetId, { ...health, load });
    }
    return this;
  }

  /** Ends the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  async #probeAll(): Promise<void> {
    const { dispatch, share } = this.#options;
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
    const news = found.filter((health) => this.#isNews(health));
    if (news.length > 0) share(news);
  }

  #isDue(targetId: string): boolean {
    const { id, sharers, now, intervalMs } = this.#options;
    if (proberOf(targetId, sharers()) === id) return true;
    const heardAt = this.#heardAt.get(targetId) ?? -Infinity;
    return now() - heardAt > intervalMs * SILENT_INTERVALS;
  }

  #isNews(health: SharedHealth): boolean {
    const { now, intervalMs } = this.#options;
    const { targetId, incarnation } = health;
    const load = health.load.running + health.load.waiting;
    const version = health.weightVersion;
    const told = this.#told.get(targetId);
    const isSame = told !== undefined && told.incarnation === incarnation &&
      told.version === version &&
      Math.abs(load - told.load) <= WORTH_TELLING * Math.max(4, told.load) &&
      now() - told.at < intervalMs * RETELL_INTERVALS;
    if (isSame) return false;
    this.#told.set(targetId, { load, version, incarnation, at: now() });
    return true;
  }

  async #probe(targetId: string): Promise<HealthAnswer | undefined> {
    const { dispatch, logger, now, ttlMs } = this.#options;
    const health = await dispatch.probe(targetId);
    if (health !== undefined) {
      this.#silent.delete(targetId);
      this.onSeen(targetId);
      return health;
    }
    if (!this.#silent.has(targetId)) {
      this.#silent.add(targetId);
      logger.event("targetUnreachable", { target: targetId });
    }
    const seenAt = this.#seenAt.get(targetId) ?? now();
    this.#seenAt.set(targetId, seenAt);
    if (now() - seenAt >= ttlMs) this.#remove(targetId);
    return undefined;
  }

  #remove(targetId: string): void {
    this.#seenAt.delete(targetId);
    this.#heardAt.delete(targetId);
    this.#told.delete(targetId);
    this.#silent.delete(targetId);
    this.#options.dispatch.remove(targetId);
  }
}
