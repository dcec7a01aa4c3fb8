/** Tells operators which targets exceed the bounds of responses. */
import { EventTooLargeError } from "../core/continuation/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { ResponseBound } from "./response_bound.ts";
import { ResponseTooLargeError } from "./response_limits.ts";

/** Options of {@link BoundReporter}. */
export interface BoundReporterOptions {
  readonly logger: Pick<Logger, "event">;
  readonly metrics: Pick<Metrics, "count">;
}

/** Reports responses that exceeded a bound. */
export class BoundReporter {
  readonly #options: BoundReporterOptions | undefined;

  /** @param options - Without them, nothing is reported. */
  constructor(options?: BoundReporterOptions) {
    this.#options = options;
  }

  /** Reports an error if a target exceeded a bound. */
  report(
    err: unknown,
    target: { readonly id: string; readonly address: string },
  ): void {
    const bound = getBound(err);
    if (bound === undefined) return;
    this.#options?.metrics.count("responses.tooLarge");
    this.#options?.logger.event("responseTooLarge", {
      target: target.id,
      address: target.address,
      bound,
      detail: (err as Error).message,
    });
  }
}

function getBound(err: unknown): ResponseBound | undefined {
  if (err instanceof ResponseTooLargeError) return err.bound;
  return err instanceof EventTooLargeError ? ResponseBound.Event : undefined;
}
