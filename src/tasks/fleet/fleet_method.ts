/** Requests that control instances serve. */
import type { UsageWindows } from "../../core/calls/mod.ts";
import type {
  EvacuationUpdate,
  FleetState,
  SuspicionUpdate,
} from "../../core/fleet/mod.ts";
import type { PolicyDocument } from "../../core/policy/mod.ts";

/** Names of the methods that control instances serve. */
export const FleetMethod = {
  Propose: "fleet.propose",
  Confirm: "fleet.confirm",
  Read: "fleet.read",
  Permits: "fleet.permits",
  Relays: "fleet.relays",
  TakeTrial: "fleet.takeTrial",
  EndTrial: "fleet.endTrial",
  RecordStream: "fleet.recordStream",
  RecordStreams: "fleet.recordStreams",
  FindStream: "fleet.findStream",
} as const;

/** Request to confirm the policy in force; it carries the usage counts. */
export interface ConfirmPolicyRequest {
  /** Revision that the requesting instance has applied. */
  readonly revision: number;
  readonly instance: string;
  /** Incarnation of the requesting process: a new value at each start. */
  readonly life: string;
  readonly usage: UsageWindows;
  /** Changes of suspicions applied there; undefined if it needs none. */
  readonly suspicionVersion: number | undefined;
  /**
   * Changes of evacuations applied there; undefined if it knows no state yet, or
   * its build has none.
   */
  readonly evacuationVersion?: number | undefined;
}

/** Reply to a {@link ConfirmPolicyRequest}. */
export interface ConfirmPolicyReply {
  readonly revision: number;
  /** The policy; undefined if the requesting instance is up to date. */
  readonly document: PolicyDocument | undefined;
  /** All suspicions; undefined if the requesting instance is up to date. */
  readonly suspicions: SuspicionUpdate | undefined;
  /** All evacuations; undefined if the requesting instance is up to date. */
  readonly evacuations?: EvacuationUpdate | undefined;
}

/** Request to read what a confirmed leader has. */
export interface ReadRequest {
  /** Whether the policy is left out. */
  readonly isPositionOnly: boolean;
}

/** Reply to a {@link ReadRequest}. */
export interface ReadReply {
  /** Policy as sent by the operator; undefined if there is none. */
  readonly source: string | undefined;
  /** Last entry that the leader has applied; absent from an earlier build. */
  readonly applied?: number | undefined;
}

/** Creates the reply from the state that a confirmed leader has applied. */
export function createConfirmReply(
  state: FleetState,
  { revision, suspicionVersion, evacuationVersion }: ConfirmPolicyRequest,
): ConfirmPolicyReply {
  const { policy, policyRevision, evacuations } = state;
  const isBehind = state.suspicionVersion > (suspicionVersion ?? Infinity);
  return {
    revision: policyRevision,
    document: policyRevision > revision ? policy : undefined,
    suspicions: isBehind ? state.suspicions : undefined,
    evacuations: evacuations.version > (evacuationVersion ?? 0)
      ? evacuations.save()
      : undefined,
  };
}
