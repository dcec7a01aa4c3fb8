/** What the run of a call needs. */
import type { CallRequest, LatencyTracker } from "../../core/calls/mod.ts";
import type { OutputWriter } from "../../core/continuation/mod.ts";
import type { Homes } from "../../core/policy/mod.ts";
import type {
  TargetRegistry,
  TargetReport,
  TargetSigns,
} from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { Admission } from "./call_gate.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { RateGuard } from "./rate_guard.ts";
import type { ResponseStream, TargetPort } from "./target_port.ts";

/** How calls are spread where instances outnumber slots. */
export interface CallSpread {
  /** Gets the number of instances that choose targets for calls. */
  readonly instances: () => number;
  /** Gets a random number in the range [0, 1). */
  readonly random: () => number;
}

/** Dependencies that all runs of an instance share. */
export interface CallRunDependencies {
  readonly targets: TargetPort;
  readonly registry: TargetRegistry;
  readonly latencies: LatencyTracker;
  readonly crashes: CrashGuard;
  readonly rates: RateGuard;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Undefined if few instances send calls, as for scoring calls. */
  readonly spread?: CallSpread | undefined;
  /** Called once per call, when a target may first have run it. */
  readonly onFirstRun: (workspace: string | undefined) => void;
  /** Called with what a target says of itself in a response. */
  readonly onSigns: (target: TargetReport, signs: TargetSigns) => void;
  /**
   * Waits for a valid policy lease, for example after the process was suspended;
   * false if there is none in time.
   */
  readonly awaitLease: (maxWaitMs: number) => Promise<boolean>;
}

/** Options of {@link CallRun}. */
export interface CallRunOptions {
  readonly call: CallRequest;
  readonly admission: Admission;
  /** Homes of the call; by default, those of its admission. */
  readonly homes?: Homes;
  readonly signal: AbortSignal;
  /**
   * Receives the response as it arrives; if undefined, the response is read
   * completely and returned.
   */
  readonly stream: ResponseStream | undefined;
  /** Who wrote the events that the caller already holds; undefined if none. */
  readonly written?: OutputWriter | undefined;
  /** Called before the first event of a resumable stream is passed on. */
  readonly onFirstEvent?: (written: OutputWriter) => Promise<void>;
}
