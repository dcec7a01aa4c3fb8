/** Messages that control instances push to the other instances. */
import type { PolicyDocument } from "../policy/mod.ts";
import type { SuspicionChange } from "../quarantine/mod.ts";
import type { TargetReport } from "../registry/mod.ts";
import type { Departure } from "./departures.ts";
import type { EvacuationUpdate } from "./evacuations.ts";
import type { ChangeSequence, RosterEntry } from "./fleet_member.ts";

/** Fingerprints under suspicion, in one version of the control log's state. */
export interface SuspicionUpdate {
  /** Number of changes of suspicions that the state includes. */
  readonly version: number;
  readonly changes: readonly SuspicionChange[];
}

/** An incarnation of a target that leaves or has left. */
export type DepartedTarget = Pick<Departure, "target" | "incarnation">;

/** A pushed message. */
export type FleetNotice =
  | { readonly type: "policy"; readonly document: PolicyDocument }
  | {
    readonly type: "targets";
    /**
     * Latest change of the publisher; undefined if it does not number its
     * changes.
     */
    readonly mark: ChangeSequence | undefined;
    /** Whether the reports include all targets known to the publisher. */
    readonly isWhole: boolean;
    readonly reports: readonly TargetReport[];
    /**
     * Targets that have left of late, with all targets; absent from an earlier
     * build.
     */
    readonly departed?: readonly DepartedTarget[] | undefined;
  }
  | {
    /**
     * A target is loading or has loaded weights. The target's own report
     * follows later.
     */
    readonly type: "loading" | "loaded";
    readonly target: string;
    readonly incarnation: number;
    readonly model: string;
    readonly version: number;
  }
  | {
    /** A target has said in a response that it leaves. */
    readonly type: "leaving";
    readonly target: string;
    readonly incarnation: number;
  }
  | {
    /** A target names another rate in its responses than before. */
    readonly type: "limit";
    readonly target: string;
    readonly incarnation: number;
    /** Requests a second; undefined if it no longer limits them. */
    readonly maxPerSecond: number | undefined;
  }
  | {
    /** A target has named a cold time in a response. */
    readonly type: "cold";
    readonly target: string;
    readonly incarnation: number;
    readonly coldMs: number;
    /** Whether a control instance passes it on to the others. */
    readonly isForwarded: boolean;
  }
  /** The changes that lead to a version from the one before. */
  | ({ readonly type: "suspicions" } & SuspicionUpdate)
  /** All evacuated data centres. */
  | ({ readonly type: "evacuations" } & EvacuationUpdate)
  | {
    readonly type: "roster";
    readonly members: readonly RosterEntry[];
    /** Names of the instances that are being drained. */
    readonly retiring: readonly string[];
    /**
     * Instances that send requests to targets: to control instances, those
     * linked to the publisher; to others, all that it knows. Absent from an
     * earlier build.
     */
    readonly senders?: readonly string[];
  };
