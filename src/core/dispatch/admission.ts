/** Whether a request is admitted, before it is queued. */
import type { LimitSettings } from "../configuration/mod.ts";
import { WorkspaceLimits } from "../limits/mod.ts";
import { type Quarantine, Suspicion } from "../quarantine/mod.ts";
import type { TargetTable } from "../routing/mod.ts";
import { RefusalReason, Verdict } from "../verdict/mod.ts";
import type { DispatchEffect } from "./attempt.ts";
import type { Pool } from "./pool.ts";
import { type WorkItem, WorkKind } from "./work_item.ts";

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  readonly targets: TargetTable;
  readonly quarantine: Quarantine;
  readonly getPool: (id: string) => Pool;
  /** Gets the limits of a workspace. */
  readonly getLimits: (workspace: string) => LimitSettings;
  /** Gets the share of workspace limits of this instance, from 0 to 1. */
  readonly limitShare?: () => number;
}

/** Retry delay if a pool has no target, and of refusals without another. */
export const NO_TARGET_RETRY_MS = 1_000;
/** Maximum number of queued requests of a workspace without a limit. */
const DEFAULT_QUEUE_LENGTH = 1_000;
/** Bounds of the retry delay of refusals by load, in milliseconds. */
const MIN_LOAD_RETRY_MS = 100;
const MAX_LOAD_RETRY_MS = 30_000;

/**
 * Refuses requests by quarantine, load and the limits of workspaces. Samples
 * belong to accepted steps, so they are refused only during a shutdown.
 *
 * @example
 * ```ts
 * const refusal = admission.refusalOf(item, now);
 * if (refusal !== undefined) return [refusal];
 * ```
 */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #limits = new Map<string, WorkspaceLimits>();
  #isClosed = false;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Refuses all new requests from now on. */
  close(): void {
    this.#isClosed = true;
  }

  /** Applies changed workspace limits to the existing limiters. */
  reconfigure(): void {
    for (const [workspace, limits] of this.#limits) {
      limits.configure(
        this.#options.getLimits(workspace),
        this.#limitOptions(),
      );
    }
  }

  /** Gets the refusal of a new request; undefined if it is admitted. */
  refusalOf(item: WorkItem, now: number): DispatchEffect | undefined {
    if (this.#isClosed) {
      return createRefusal(
        item,
        RefusalReason.ShuttingDown,
        NO_TARGET_RETRY_MS,
      );
    }
    if (this.isQuarantined(item)) {
      return {
        type: "refuse",
        item,
        reason: RefusalReason.Quarantined,
        verdict: Verdict.Ran,
      };
    }
    if (item.kind === WorkKind.Sample) return undefined;
    return this.#refusalByLoad(item, now) ?? this.#refusalByLimit(item, now);
  }

  /** Gets whether a request is quarantined, which a sample never is. */
  isQuarantined({ kind, fingerprint }: WorkItem): boolean {
    return kind !== WorkKind.Sample &&
      this.#options.quarantine.suspicionOf(fingerprint) === Suspicion.Proven;
  }

  /** Gets whether a pool has a target that serves, or may serve later. */
  hasTargetFor(poolId: string): boolean {
    for (const target of this.#options.targets.inPool(poolId)) {
      if (target.mayServe()) return true;
    }
    return false;
  }

  /** Returns what an admitted request has taken of its workspace's limits. */
  release(item: WorkItem, tokens: number, now: number): void {
    if (item.kind === WorkKind.Sample) return;
    this.#limitsOf(item.workspace).release(item.tokens, tokens, now);
  }

  #refusalByLoad(item: WorkItem, now: number): DispatchEffect | undefined {
    if (!this.hasTargetFor(item.pool)) {
      return createRefusal(item, RefusalReason.NoTarget, NO_TARGET_RETRY_MS);
    }
    const pool = this.#options.getPool(item.pool);
    const limits = this.#options.getLimits(item.workspace);
    const queued = pool.queue.sizeOf(item.workspace);
    const waitMs = pool.expectedWaitMs(item, now);
    const retryAfterMs = Math.min(
      MAX_LOAD_RETRY_MS,
      Math.max(MIN_LOAD_RETRY_MS, waitMs),
    );
    if (queued >= (limits.queue ?? DEFAULT_QUEUE_LENGTH)) {
      return createRefusal(item, RefusalReason.QueueFull, retryAfterMs);
    }
    if (waitMs <= pool.allowedWaitMs(item, now)) return undefined;
    return createRefusal(item, RefusalReason.DeadlineUnreachable, retryAfterMs);
  }

  #refusalByLimit(item: WorkItem, now: number): DispatchEffect | undefined {
    const limits = this.#limitsOf(item.workspace);
    const exceeded = limits.admit(item.tokens, now);
    if (exceeded === undefined) return undefined;
    return createRefusal(item, exceeded.reason, exceeded.retryAfterMs);
  }

  #limitsOf(workspace: string): WorkspaceLimits {
    let limits = this.#limits.get(workspace);
    if (limits !== undefined) return limits;
    const settings = this.#options.getLimits(workspace);
    limits = new WorkspaceLimits(settings, this.#limitOptions());
    this.#limits.set(workspace, limits);
    return limits;
  }

  #limitOptions(): { share: number } {
    return { share: this.#options.limitShare?.() ?? 1 };
  }
}

function createRefusal(
  item: WorkItem,
  reason: RefusalReason,
  retryAfterMs: number,
): DispatchEffect {
  return {
    type: "refuse",
    item,
    reason,
    verdict: Verdict.NotRun,
    retryAfterMs,
  };
}
