/** Admission of calls: finds the route and authenticates the caller. */
import type { CallRequest } from "../../core/calls/mod.ts";
import type {
  PolicyView,
  RoutePolicy,
  WorkspacePolicy,
} from "../../core/policy/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { leaseWaitMs } from "./lease_wait.ts";
import { type SendGuard, WithheldReason } from "../send_guard.ts";

/** The policy under which a call was admitted. */
export interface Admission {
  readonly route: RoutePolicy;
  /** Workspace of the caller's key; undefined on routes that need no key. */
  readonly workspace: WorkspacePolicy | undefined;
  readonly policy: PolicyView;
  /** Asked when the call is written to a target. */
  readonly guard?: SendGuard;
}

/** Refusals that may be due to an outdated policy. */
const UNKNOWN_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.NotFound,
  RefusalReason.KeyMissing,
  RefusalReason.KeyUnknown,
]);

/**
 * Gets whether a caller is refused because its route, key or batch is unknown.
 *
 * @example
 * ```ts
 * isUnknown(new RefusalError(RefusalReason.NotFound, Verdict.NotRun)); // true
 * ```
 */
export function isUnknown(err: unknown): err is RefusalError {
  return err instanceof RefusalError && UNKNOWN_REASONS.has(err.reason);
}

/** Options of {@link CallGate}. */
export interface CallGateOptions {
  readonly policy: () => PolicyView | undefined;
  /**
   * Waits for a valid policy lease, briefly if no longest wait is given; false
   * if there is none in time.
   */
  readonly awaitLease: (maxWaitMs?: number) => Promise<boolean>;
  /** Gets whether the policy lease is valid. */
  readonly hasLease: () => boolean;
  /**
   * Gets whether a control leader is known. It sends the policy to an instance
   * that has just started; without one, it must be elected first.
   */
  readonly hasControlLeader: () => boolean;
}

const RETRY_AFTER_MS = 1_000;
/** Retry delay while a known leader has not yet sent the policy. */
const POLICY_RETRY_AFTER_MS = 300;
/** Retry delay while all instances start and no leader is elected. */
const ELECTION_RETRY_AFTER_MS = 1_000;

/** Admits calls under the current policy. */
export class CallGate {
  readonly #options: CallGateOptions;

  constructor(options: CallGateOptions) {
    this.#options = options;
  }

  /**
   * Admits a call by its host, path and key.
   * The call is matched again after the wait for the policy lease, since its
   * key may have been withdrawn in the meantime. Nobody is refused as unknown
   * without the lease: the route or key may have been added since.
   * @throws RefusalError with verdict `notRun`.
   */
  async admit(
    call:
      & Pick<CallRequest, "host" | "path" | "key">
      & Partial<Pick<CallRequest, "timeoutMs">>,
  ): Promise<Admission> {
    const admission = this.#findAdmission(call);
    if (admission === undefined) {
      await this.#awaitLeaseOrThrow();
      return this.#findAdmissionOrThrow(call);
    }
    if (admission.workspace === undefined) return admission;
    const { timeoutMs = Infinity } = call;
    const timeMs = Math.min(timeoutMs, admission.route.timeoutMs);
    await this.#awaitLeaseOrThrow(leaseWaitMs(timeMs));
    return this.#findAdmissionOrThrow(call);
  }

  /**
   * Authenticates a caller of a batch that was accepted before, whatever routes
   * there are by now. Nobody is refused as unknown without the policy lease: the
   * caller may have been added since, and does not come back after such a
   * refusal.
   * @returns Name of the caller's workspace.
   * @throws RefusalError with verdict `notRun`.
   */
  async authenticate(key: string | undefined): Promise<string> {
    this.#getPolicyOrThrow();
    await this.#awaitLeaseOrThrow();
    return getWorkspaceOrThrow(this.#getPolicyOrThrow(), key).name;
  }

  async #awaitLeaseOrThrow(maxWaitMs?: number): Promise<void> {
    if (await this.#options.awaitLease(maxWaitMs)) return;
    throw new RefusalError(RefusalReason.DataCentreFenced, Verdict.NotRun, {
      message: "Keys cannot be checked now",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  /** Gets the admission of a call; undefined if its route or key is unknown. */
  #findAdmission(
    call: Pick<CallRequest, "host" | "path" | "key">,
  ): Admission | undefined {
    try {
      return this.#findAdmissionOrThrow(call);
    } catch (err) {
      if (isUnknown(err)) return undefined;
      throw err;
    }
  }

  #findAdmissionOrThrow(
    call: Pick<CallRequest, "host" | "path" | "key">,
  ): Admission {
    const policy = this.#getPolicyOrThrow();
    const route = policy.findRoute(call.host, call.path);
    if (route === undefined) throw notFoundError();
    if (route.isAnonymous || !policy.needsKeys) {
      return { route, workspace: undefined, policy };
    }
    const workspace = getWorkspaceOrThrow(policy, call.key);
    const guard = () => this.#checkKey(call.key, workspace.name);
    return { route, workspace, policy, guard };
  }

  /** Gets why a call with a key may not be sent; undefined if it may. */
  #checkKey(
    key: string | undefined,
    workspace: string,
  ): WithheldReason | undefined {
    const policy = this.#getPolicyOrThrow();
    if (!policy.needsKeys) return undefined;
    const holder = key === undefined ? undefined : policy.findWorkspace(key);
    if (holder?.name !== workspace) return WithheldReason.KeyWithdrawn;
    return this.#options.hasLease() ? undefined : WithheldReason.LeaseExpired;
  }

  #getPolicyOrThrow(): PolicyView {
    const policy = this.#options.policy();
    if (policy !== undefined) return policy;
    throw new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun, {
      message: "No policy is known yet",
      retryAfterMs: this.#options.hasControlLeader()
        ? POLICY_RETRY_AFTER_MS
        : ELECTION_RETRY_AFTER_MS,
    });
  }
}

function getWorkspaceOrThrow(
  policy: PolicyView,
  key: string | undefined,
): WorkspacePolicy {
  if (key === undefined) {
    throw new RefusalError(RefusalReason.KeyMissing, Verdict.NotRun);
  }
  const workspace = policy.findWorkspace(key);
  if (workspace !== undefined) return workspace;
  throw new RefusalError(RefusalReason.KeyUnknown, Verdict.NotRun);
}

function notFoundError(): RefusalError {
  return new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
}
