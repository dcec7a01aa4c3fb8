/** Instance that sends requests to a cold target in a simulation. */
import { ControlContact } from "../../src/core/fleet/mod.ts";
import type { ServicePolicy } from "../../src/core/policy/mod.ts";
import { reportAt, TargetRegistry } from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import { ColdTargets } from "../../src/tasks/fleet/cold_targets.ts";
import { TargetLimiter } from "../../src/tasks/fleet/target_limiter.ts";
import type { SimulatedSchedule } from "./simulated_schedule.ts";

/** Options of {@link SimulatedSender}. */
export interface SimulatedSenderOptions {
  readonly schedule: SimulatedSchedule;
  readonly id: string;
  /** Identifiers of all senders that it knows. */
  readonly senders: readonly string[];
  readonly service: ServicePolicy;
  /** Times between which it has no link to any control instance. */
  readonly cut: { readonly from: number; readonly until: number };
  /** Whether it takes cold times for known while it has no link. */
  readonly ignoresCut: boolean;
  /** Asks the control leader for permits. */
  readonly request: (params: unknown, timeoutMs: number) => Promise<unknown>;
  /** Called when a request is sent to the target. */
  readonly onSent: () => void;
}

/** Identifier of the target. */
export const TARGET = "t";
/** Longest time of a notice to an instance. */
export const MAX_NOTICE_DELAY_MS = 100;
const MAX_PAUSE_MS = 600;
const PAUSE_SHARE = 0.05;
const MAX_CALL_WAIT_MS = 150;
const MIN_CALL_INTERVAL_MS = 60;
const CALL_INTERVAL_SPREAD_MS = 240;
const FETCHED_PERMITS = 4;
const MAX_TARGETS = 4;
const LOGGER = new Logger({ instance: "test", level: "error" });
const METRICS = new Metrics({ tags: {} });

/** Sends as many requests as its limiter allows. */
export class SimulatedSender {
  readonly #options: SimulatedSenderOptions;
  readonly #registry = new TargetRegistry();
  readonly #limiter: TargetLimiter;
  readonly #contact = new ControlContact()
    .update(true, -Infinity)
    .update(true, 0);

  constructor(options: SimulatedSenderOptions) {
    this.#options = options;
    const { schedule, id, senders, service, request, cut } = options;
    const registry = this.#registry;
    const now = () => schedule.now;
    this.#limiter = new TargetLimiter({
      registry,
      now,
      maxTargets: MAX_TARGETS,
      instance: id,
      cold: new ColdTargets({
        registry,
        now,
        logger: LOGGER,
        metrics: METRICS,
        getService: () => service,
        outdatedMs: () => this.#outdatedMs,
      }),
      node: {
        logger: LOGGER,
        metrics: METRICS,
        senders,
        requestLeader: (_role, _method, { params, timeoutMs }) =>
          request(params, timeoutMs),
      },
    });
    if (cut.from === Infinity) return;
    schedule
      .after(cut.from, () => this.#contact.update(false, now()))
      .after(cut.until + 1, () => this.#contact.update(true, now()));
  }

  /** Gets whether it has no link to any control instance. */
  get isCutOff(): boolean {
    const { schedule: { now }, cut: { from, until } } = this.#options;
    return now >= from && now < until;
  }

  /** Sends it the state of a control instance, after a cut if there is one. */
  notify(registry: TargetRegistry): void {
    const { schedule, cut } = this.#options;
    const delayMs = schedule.random() * MAX_NOTICE_DELAY_MS;
    if (this.isCutOff) {
      const leftMs = cut.until - schedule.now + 1;
      schedule.after(leftMs + delayMs, () => this.notify(registry));
      return;
    }
    const report = reportAt(registry.get(TARGET)!, schedule.now);
    schedule.after(delayMs, () => this.#registry.merge(report, schedule.now));
  }

  /** Sends calls again and again. */
  sendCalls(): void {
    const { schedule } = this.#options;
    const next = () => {
      this.#sendCall();
      const spreadMs = schedule.random() * CALL_INTERVAL_SPREAD_MS;
      schedule.settle().after(MIN_CALL_INTERVAL_MS + spreadMs, next);
    };
    next();
  }

  /** Sends items for which it has permits, and fetches more. */
  placeItems(): void {
    const { schedule, onSent } = this.#options;
    const target = this.#registry.get(TARGET)?.report;
    if (target === undefined) return;
    while (this.#limiter.storedPermits(target) > 0) {
      this.#limiter.useStored(target);
      onSent();
    }
    this.#limiter.fetch([target], FETCHED_PERMITS);
    schedule.settle();
  }

  async #sendCall(): Promise<void> {
    const { schedule, onSent } = this.#options;
    const target = this.#registry.get(TARGET)?.report;
    if (target === undefined) return;
    if (!this.#limiter.isLimited(target)) return onSent();
    const maxWaitMs = schedule.random() * MAX_CALL_WAIT_MS;
    const { permit } = await this.#limiter.acquire([target], maxWaitMs);
    if (permit === undefined) return;
    const pauseMs = drawPauseMs(schedule);
    schedule.after(permit.afterMs + pauseMs, () => {
      if (permit.isValid?.() !== false) onSent();
    });
  }

  get #outdatedMs(): number {
    const { schedule: { now }, ignoresCut } = this.#options;
    return ignoresCut ? 0 : now - this.#contact.knownAt(now);
  }
}

/** Draws the time for which a process stalls; 0 in most cases. */
export function drawPauseMs(schedule: SimulatedSchedule): number {
  const isPaused = schedule.random() < PAUSE_SHARE;
  return isPaused ? schedule.random() * MAX_PAUSE_MS : 0;
}
