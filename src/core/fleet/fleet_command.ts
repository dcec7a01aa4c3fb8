/** Commands of the fleet's control log, and their answers. */
import type { PolicyDocument } from "../policy/mod.ts";

/** Requests begun in a window, by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** A command. */
export type FleetCommand =
  | {
    readonly type: "replacePolicy";
    readonly document: PolicyDocument;
    /** Document as the operator sent it, for reading back. */
    readonly source: string;
  }
  | {
    readonly type: "announceWeights";
    readonly model: string;
    readonly version: number;
  }
  | {
    /** Fixes the first members of the ledger's log; later ones are ignored. */
    readonly type: "formLedger";
    readonly voters: readonly string[];
  }
  | {
    readonly type: "sealUsage";
    readonly window: number;
    readonly counts: UsageCounts;
  }
  | { readonly type: "usageReported"; readonly window: number }
  | { readonly type: "retire"; readonly name: string }
  | { readonly type: "retired"; readonly name: string };

/** How a command ended. */
export type FleetAnswer =
  | { readonly type: "done" }
  /** Nothing changed: what is in force is newer or equal. */
  | { readonly type: "unchanged" };
