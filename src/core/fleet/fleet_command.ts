/** Commands of the fleet's control log and their results. */
import type { PolicyDocument } from "../policy/mod.ts";
import type { Departure } from "./departures.ts";
import type { TargetDeath } from "../quarantine/mod.ts";

/** Number of requests started in a window, by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** A command of the fleet's control log. */
export type FleetCommand =
  | {
    readonly type: "replacePolicy";
    readonly document: PolicyDocument;
    /** Document as sent by the operator, returned when it is read back. */
    readonly source: string;
  }
  | {
    readonly type: "announceWeights";
    readonly model: string;
    readonly version: number;
  }
  | {
    /**
     * Sets the initial voters of the ledger log. Only the first such command
     * takes effect.
     */
    readonly type: "formLedger";
    readonly voters: readonly string[];
  }
  | {
    readonly type: "sealUsage";
    readonly window: number;
    readonly counts: UsageCounts;
  }
  | { readonly type: "usageReported"; readonly window: number }
  | {
    /** Reports which requests targets crashed under, and which completed. */
    readonly type: "reportRuns";
    readonly deaths: readonly TargetDeath[];
    /** Fingerprints under suspicion that have completed. */
    readonly completed: readonly string[];
  }
  | {
    /** Takes the trial run of a proven fingerprint; done only if one is due. */
    readonly type: "takeTrial";
    readonly fingerprint: string;
    /** Time in milliseconds since the epoch. */
    readonly at: number;
  }
  | {
    /** Orders that nothing more be sent to the targets of a data centre. */
    readonly type: "evacuate";
    readonly dataCentre: string;
    /** Version of the evacuations that the order is based on. */
    readonly after: number;
  }
  | {
    /** Withdraws the order to send nothing to a data centre. */
    readonly type: "readmit";
    readonly dataCentre: string;
    /** Version of the evacuations that the order is based on. */
    readonly after: number;
  }
  | {
    /** Records targets that leave; their late reports change nothing. */
    readonly type: "depart";
    readonly departures: readonly Departure[];
  }
  /** Starts to drain an instance. */
  | { readonly type: "retire"; readonly name: string }
  /** Records that an instance has been drained. */
  | { readonly type: "retired"; readonly name: string };

/** Result of applying a command. */
export type FleetCommandResult =
  | { readonly type: "done" }
  /** Nothing changed: the current value is equal or newer. */
  | { readonly type: "unchanged" }
  /** Nothing changed: the command is based on another version than this. */
  | { readonly type: "outdated"; readonly version: number };

/** Gets the fingerprints whose suspicion a command may change. */
export function fingerprintsOf(command: FleetCommand): string[] {
  if (command.type === "takeTrial") return [command.fingerprint];
  if (command.type !== "reportRuns") return [];
  const died = command.deaths.map(({ fingerprint }) => fingerprint);
  return [...command.completed, ...died];
}
