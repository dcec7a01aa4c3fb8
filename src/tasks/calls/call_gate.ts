/** Decides whether a call is let in, and by which route. */
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

/** A call that was let in. */
export interface Admission {
  readonly route: RoutePolicy;
  /** Workspace of the key; undefined on open routes. */
  readonly workspace: WorkspacePolicy | undefined;
  readonly policy: PolicyView;
}

/** What the gate relies on. */
export interface GateSources {
  readonly policy: () => PolicyView | undefined;
  /** Waits shortly for a confirmed policy; false where none comes. */
  readonly awaitLease: () => Promise<boolean>;
}

const RETRY_AFTER_MS = 1_000;
/** Time in which an instance that has just started learns the policy. */
const STARTING_RETRY_MS = 400;

/** Lets calls in by the policy that is in force. */
export class CallGate {
  readonly #sources: GateSources;

  /** Creates a gate. */
  constructor(sources: GateSources) {
    this.#sources = sources;
  }

  /**
   * Lets a call in by its host, path and key.
   * @throws RefusalError with verdict `notRun`.
   */
  async admit(
    call: Pick<CallRequest, "host" | "path" | "key">,
  ): Promise<Admission> {
    const admission = this.#find(call);
    if (admission.workspace === undefined) return admission;
    if (await this.#sources.awaitLease()) return this.#find(call);
    throw new RefusalError(RefusalReason.DataCentreFenced, Verdict.NotRun, {
      message: "Keys cannot be checked now",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  /**
   * Lets a caller in by its host and key alone.
   * @throws RefusalError with verdict `notRun`.
   */
  async admitKey(host: string, key: string | undefined): Promise<string> {
    const policy = this.#policyOrThrow();
    if (!policy.hasHost(host)) throw notFound();
    workspaceOrThrow(policy, key);
    if (!await this.#sources.awaitLease()) {
      throw new RefusalError(RefusalReason.DataCentreFenced, Verdict.NotRun, {
        message: "Keys cannot be checked now",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    return workspaceOrThrow(this.#policyOrThrow(), key).name;
  }

  #find(call: Pick<CallRequest, "host" | "path" | "key">): Admission {
    const policy = this.#policyOrThrow();
    const route = policy.findRoute(call.host, call.path);
    if (route === undefined) throw notFound();
    if (route.isAnonymous || !policy.needsKeys) {
      return { route, workspace: undefined, policy };
    }
    return { route, workspace: workspaceOrThrow(policy, call.key), policy };
  }

  #policyOrThrow(): PolicyView {
    const policy = this.#sources.policy();
    if (policy !== undefined) return policy;
    throw new RefusalError(RefusalReason.ControlUnavailable, Verdict.NotRun, {
      message: "No policy is known yet",
      retryAfterMs: STARTING_RETRY_MS,
    });
  }
}

function workspaceOrThrow(
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

function notFound(): RefusalError {
  return new RefusalError(RefusalReason.NotFound, Verdict.NotRun);
}
