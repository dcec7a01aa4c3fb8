/** Log events and metrics of the dispatch of jobs. */
import type { DispatchEffect } from "../../core/dispatch/mod.ts";
import { InvariantError } from "../../core/invariants/mod.ts";
import { Suspicion, type SuspicionChange } from "../../core/quarantine/mod.ts";
import type { TargetAnnouncement } from "../../core/routing/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics, RetryMetric } from "../../metrics/mod.ts";
import type { JobResult } from "./job.ts";

/** Options of {@link DispatchRecorder}. */
export interface DispatchRecorderOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Logs and counts what happens to jobs and targets. */
export class DispatchRecorder {
  readonly #options: DispatchRecorderOptions;

  constructor(options: DispatchRecorderOptions) {
    this.#options = options;
  }

  /** Records a target, or a new incarnation of one. */
  announced({ id, zone, incarnation }: TargetAnnouncement): void {
    const fields = { target: id, zone, incarnation };
    this.#options.logger.event("targetAnnounced", fields);
  }

  /** Records that the process of a target has ended. */
  died(target: string): void {
    this.#options.metrics.count("targets.died");
    this.#options.logger.event("targetDied", { target });
  }

  /** Records whether a failed attempt is repeated. */
  retried(effect: Extract<DispatchEffect, { type: "retry" }>): void {
    const { item, reason, decision } = effect;
    const name: RetryMetric = `retries.${reason}.${decision}`;
    this.#options.metrics.count(name);
    this.#options.logger.event("requestRetried", {
      item: item.id,
      reason,
      decision,
    });
  }

  /** Records a suspicion; one that is cleared leaves no record. */
  suspected({ suspicion, fingerprint, deaths }: SuspicionChange): void {
    if (suspicion === Suspicion.Clear) return;
    this.#options.logger.event(
      suspicion === Suspicion.Proven
        ? "requestQuarantined"
        : "requestSuspected",
      { fingerprint, deaths },
    );
  }

  /** Records a refused job. */
  refused(
    item: string,
    { reason, verdict }: Extract<JobResult, { type: "refused" }>,
  ): void {
    this.#options.metrics.count(`refusals.${reason}`);
    this.#options.logger.event("requestRefused", { item, reason, verdict });
  }

  /** Records an error of the dispatcher; a broken invariant has its own event. */
  failed(err: unknown): void {
    const { metrics, logger } = this.#options;
    if (!(err instanceof InvariantError)) {
      logger.error(err);
      return;
    }
    metrics.count("invariants.refused");
    logger.event("invariantRefused", {
      invariant: err.invariant,
      detail: err.message,
    });
  }
}
