/** What control instances push to the others. */
import type { PolicyDocument } from "../policy/mod.ts";
import type { TargetReport } from "../registry/mod.ts";
import type { RosterEntry } from "./fleet_member.ts";

/** Number of a change, in one life of its teller. */
export interface ChangeMark {
  readonly life: string;
  readonly change: number;
}

/** A pushed message. */
export type FleetNotice =
  | { readonly type: "policy"; readonly document: PolicyDocument }
  | {
    readonly type: "targets";
    /** Number of the teller's latest change; undefined where it keeps none. */
    readonly mark: ChangeMark | undefined;
    /** Whether these are all targets that the teller knows. */
    readonly isWhole: boolean;
    readonly reports: readonly TargetReport[];
  }
  | {
    /** A target loads weights, or has; its own report comes later. */
    readonly type: "loading" | "loaded";
    readonly target: string;
    readonly incarnation: number;
    readonly model: string;
    readonly version: number;
  }
  | {
    readonly type: "roster";
    readonly members: readonly RosterEntry[];
    /** Names of the instances that are emptied. */
    readonly retiring: readonly string[];
  };
