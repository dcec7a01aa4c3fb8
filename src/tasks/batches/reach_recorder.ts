/** Records targets that do not answer, and logs data centres that do not. */
import type { DataCentreReach } from "../../core/batches/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";

/** Options of {@link ReachRecorder}. */
export interface ReachRecorderOptions {
  readonly reach: DataCentreReach;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Records timeouts of targets in a {@link DataCentreReach}. */
export class ReachRecorder {
  readonly #options: ReachRecorderOptions;

  constructor(options: ReachRecorderOptions) {
    this.#options = options;
  }

  /** Records that a target has let a connection or a run time out. */
  onUnanswered({ id, dataCentre }: TargetReport): void {
    const { reach, logger, metrics, now } = this.#options;
    const at = now();
    const wasUnreachable = reach.isUnreachable(dataCentre, at);
    reach.onUnanswered({ id, dataCentre }, at);
    if (wasUnreachable || !reach.isUnreachable(dataCentre, at)) return;
    metrics.count("items.dataCentreUnanswered");
    logger.event("dataCentreUnanswered", { dataCentre, target: id });
  }
}
