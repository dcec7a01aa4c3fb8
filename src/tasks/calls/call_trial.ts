/** What happens to a call under which targets have ended. */
import type { TargetReport } from "../../core/registry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import { settleWithin } from "../settle.ts";
import type { CrashGuard } from "./crash_guard.ts";

/** Options of {@link CallTrial}. */
export interface CallTrialOptions {
  readonly crashes: CrashGuard;
  readonly logger: Logger;
  /** Computes the call's fingerprint, which is done once. */
  readonly computeFingerprint: () => string;
  /** Gets the service whose targets run the call. */
  readonly service: () => string;
  /** Whether the caller holds events of a target that ran the call. */
  readonly hasRun: boolean;
}

/**
 * Longest wait until it is known whether a target has ended; longer than the
 * connect timeout, within which it is.
 */
const CRASH_CHECK_MS = 500;
/** Fraction of the remaining time for which a call waits for its trial. */
const TRIAL_WAIT_FRACTION = 1 / 3;

/** Keeps a call from ending more targets than a service can spare. */
export class CallTrial {
  readonly #options: CallTrialOptions;
  #knownFingerprint: string | undefined;
  /** Whether the control leader has granted the trial. */
  #isGranted = false;
  #retryAfterMs: number | undefined;

  /** Whether a target ran the call without ending at once. */
  #hasRun: boolean;

  constructor(options: CallTrialOptions) {
    this.#options = options;
    this.#hasRun = options.hasRun;
  }

  /** Gets the call's fingerprint. */
  get fingerprint(): string {
    this.#knownFingerprint ??= this.#options.computeFingerprint();
    return this.#knownFingerprint;
  }

  /** Gets whether a target has ended under the call, or more than one. */
  get isSuspect(): boolean {
    return this.#options.crashes.isSuspect(this.fingerprint);
  }

  /** Gets whether enough targets have ended under the call to refuse it. */
  get isProven(): boolean {
    return this.#options.crashes.isProven(this.fingerprint);
  }

  /**
   * Gets the time after which a trial may be granted, in milliseconds;
   * undefined unless the last one was denied.
   */
  get retryAfterMs(): number | undefined {
    return this.#retryAfterMs;
  }

  /**
   * Refuses a call under which targets ended, unless its trial run is due.
   * @throws RefusalError with verdict `notRun`.
   */
  async throwIfQuarantined(): Promise<void> {
    const { crashes } = this.#options;
    if (!this.isProven || await crashes.takeTrial(this.fingerprint)) return;
    throw new RefusalError(RefusalReason.Quarantined, Verdict.NotRun, {
      message: `Targets ended under this request (${this.fingerprint})`,
      retryAfterMs: crashes.retryAfterMs(this.fingerprint),
    });
  }

  /**
   * Waits until the call may be sent to a target; at most for the part of its
   * time that leaves the caller time to come back.
   * @param leftMs - Time left for the call, in milliseconds.
   */
  async begin(leftMs: number): Promise<boolean> {
    if (this.#isGranted || this.#hasRun) return true;
    if (!this.isSuspect || this.isProven) return true;
    const { isGranted, retryAfterMs } = await this.#options.crashes
      .awaitTrial(this.fingerprint, {
        service: this.#options.service(),
        maxWaitMs: leftMs * TRIAL_WAIT_FRACTION,
      });
    this.#isGranted = isGranted;
    this.#retryAfterMs = isGranted ? undefined : retryAfterMs;
    return isGranted;
  }

  /**
   * Records that a target runs the call and has sent an event: the call waits
   * for no trial any more, also if that target ends later.
   */
  onProgress(): void {
    this.#hasRun = true;
    this.end();
  }

  /** Ends the trial, as a target has run the call. */
  end(): void {
    if (!this.#isGranted) return;
    this.#isGranted = false;
    this.#options.crashes.endTrial(this.fingerprint, this.#options.service());
  }

  /**
   * Reports a broken connection, and waits for a moment until it is known
   * whether the target has ended: the next one may be the last that the call
   * may cost.
   */
  async reportBroken(target: TargetReport): Promise<void> {
    const { crashes, logger } = this.#options;
    const reported = crashes.onBroken(this.fingerprint, target)
      .catch((err) => logger.error(err));
    await settleWithin(reported, CRASH_CHECK_MS);
  }

  /** Records that a target has completed the call. */
  onCompleted(): void {
    this.#options.crashes.onCompleted(this.fingerprint);
  }
}
