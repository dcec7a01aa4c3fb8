/** Admission of calls: finds the route and authenticates the caller. */
import type { CallRequest } from "../../core/calls/mod.ts";
import {
  NO_WORKSPACE,
  type PolicyView,
  RouteKind,
  type RoutePolicy,
  type WorkspacePolicy,
} from "../../core/policy/mod.ts";
import {
  isUnknown,
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { CallerIdentity } from "./caller_identity.ts";
import { leaseWaitMs } from "./lease_wait.ts";
import { type SendGuard, WithheldReason } from "../send_guard.ts";

/** The policy under which a call was admitted. */
export interface Admission {
  readonly route: RoutePolicy;
  /**
   * Workspace of the caller's key; undefined without a known one, on a route
   * that needs none.
   */
  readonly workspace: WorkspacePolicy | undefined;
  readonly policy: PolicyView;
  /**
   * Asked when the call is written to a target; undefined if its route needs no
   * key.
   */
  readonly guard?: SendGuard;
}

/** What of a call decides whether it is admitted. */
export type CallerHead =
  & Pick<CallRequest, "host" | "path" | "key">
  & Partial<Pick<CallRequest, "timeoutMs">>;

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
  async admit(call: CallerHead): Promise<Admission> {
    const admission = this.#findAdmission(call);
    if (admission === undefined) {
      await this.#awaitLeaseOrThrow();
      return this.#findAdmissionOrThrow(call);
    }
    if (!needsLease(admission, call)) return admission;
    const { timeoutMs = Infinity } = call;
    const timeMs = Math.min(timeoutMs, admission.route.timeoutMs);
    await this.#awaitLeaseOrThrow(leaseWaitMs(timeMs));
    return this.#findAdmissionOrThrow(call);
  }

  /**
   * Identifies a caller of a batch that was accepted before, whatever routes
   * there are by now. Nobody is unknown without the policy lease: the caller may
   * have been added since, and does not come back after such a refusal.
   * @throws RefusalError with verdict `notRun` if keys cannot be checked now.
   */
  async identify(key: string | undefined): Promise<CallerIdentity> {
    this.#getPolicyOrThrow();
    await this.#awaitLeaseOrThrow();
    const policy = this.#getPolicyOrThrow();
    const none = { workspace: NO_WORKSPACE, refusal: undefined };
    if (!policy.needsKeys) return none;
    try {
      const { name } = getWorkspaceOrThrow(policy, key);
      return { workspace: name, refusal: undefined };
    } catch (err) {
      if (!isUnknown(err)) throw err;
      return { ...none, refusal: err };
    }
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
      return { route, workspace: this.#findHolder(policy, call.key), policy };
    }
    const workspace = getWorkspaceOrThrow(policy, call.key);
    const guard = () => this.#checkKey(call.key, workspace.name);
    return { route, workspace, policy, guard };
  }

  /**
   * Gets the workspace of a key where none is needed; undefined if there is none
   * or if that cannot be checked now.
   */
  #findHolder(
    policy: PolicyView,
    key: string | undefined,
  ): WorkspacePolicy | undefined {
    if (key === undefined || !this.#options.hasLease()) return undefined;
    return policy.findWorkspace(key);
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

/**
 * Gets whether a call is admitted under the policy lease alone. It is where its
 * route needs a key, and where a batch gets an owner.
 */
function needsLease(
  { guard, route, policy }: Admission,
  { key }: Pick<CallRequest, "key">,
): boolean {
  if (guard !== undefined) return true;
  return route.kind === RouteKind.Rollout && policy.needsKeys &&
    key !== undefined;
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
