/** Error for refused and failed requests. */
import { NutmegreelError } from "../errors/mod.ts";
import { REFUSAL_STATUS, type RefusalReason } from "./refusal_reason.ts";
import { mergeVerdicts, type Verdict } from "./verdict.ts";

/** Options of {@link RefusalError}. */
export interface RefusalOptions {
  /** Message for people, in sentence case. */
  readonly message?: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Error that caused the refusal. */
  readonly cause?: unknown;
}

/** JSON body of a refusal. */
export interface RefusalBody {
  /** Details of the refusal. */
  readonly error: {
    readonly code: RefusalReason;
    readonly message: string;
    readonly verdict: Verdict;
    readonly retryAfterMs?: number;
  };
}

/** Thrown when a request is refused or has failed. */
export class RefusalError extends NutmegreelError {
  /** Reason of the refusal. */
  readonly reason: RefusalReason;
  /** Whether the request may have been executed by a target. */
  readonly verdict: Verdict;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;

  /**
   * Creates the error.
   *
   * @param reason - Reason of the refusal.
   * @param verdict - Whether the request may have been executed by a target.
   */
  constructor(
    reason: RefusalReason,
    verdict: Verdict,
    options: RefusalOptions = {},
  ) {
    super(reason, options.message ?? `Request refused: ${reason}`, {
      cause: options.cause,
    });
    this.reason = reason;
    this.verdict = verdict;
    this.retryAfterMs = options.retryAfterMs;
  }

  /**
   * Merges the verdict of an earlier attempt into this refusal: what a target
   * may have run stays so, even if a later attempt was refused as not run.
   *
   * @example
   * ```ts
   * throw refusal.afterAttempt(earlier.verdict);
   * ```
   */
  afterAttempt(verdict: Verdict): RefusalError {
    const merged = mergeVerdicts(this.verdict, verdict);
    if (merged === this.verdict) return this;
    const { message, retryAfterMs } = this;
    return new RefusalError(this.reason, merged, {
      message,
      cause: this,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }

  /** Gets the HTTP status of the refusal. */
  get status(): number {
    return REFUSAL_STATUS[this.reason];
  }

  /** Creates the JSON body of the response. */
  toBody(): RefusalBody {
    return {
      error: {
        code: this.reason,
        message: this.message,
        verdict: this.verdict,
        ...(this.retryAfterMs === undefined
          ? {}
          : { retryAfterMs: Math.ceil(this.retryAfterMs) }),
      },
    };
  }
}
