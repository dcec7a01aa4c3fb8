/** The interface by which calls are kept from crashing targets. */
import type { TrialReply } from "../../core/quarantine/mod.ts";
import type { TargetReport } from "../../core/registry/mod.ts";

/** How a call under suspicion waits for its trial. */
export interface TrialWait {
  /** Service whose targets may run the call. */
  readonly service: string;
  /** Longest wait, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Knows which calls end the targets that run them. */
export interface CrashGuard {
  /** Gets whether a target has ended under a call, or more than one. */
  isSuspect(fingerprint: string): boolean;
  /** Gets whether enough targets have ended under a call to refuse it. */
  isProven(fingerprint: string): boolean;
  /**
   * Takes the trial run of a proven call.
   * @returns Whether the caller may run it, once.
   */
  takeTrial(fingerprint: string): Promise<boolean>;
  /**
   * Waits until a call under suspicion may be sent to one target, while the
   * others of its service stay out of its way.
   * @returns Whether it may, or when to come back.
   */
  awaitTrial(fingerprint: string, wait: TrialWait): Promise<TrialReply>;
  /** Records that the trial of a call under suspicion has ended. */
  endTrial(fingerprint: string, service: string): void;
  /** Gets the time to the next trial run, in milliseconds. */
  retryAfterMs(fingerprint: string): number;
  /**
   * Records that a target closed the connection of a call, and finds out
   * whether it has ended.
   */
  onBroken(fingerprint: string, target: TargetReport): Promise<void>;
  /** Records that a target completed a call. */
  onCompleted(fingerprint: string): void;
}

/** Guard of calls that are sent until they succeed, whatever targets do. */
export const NO_CRASH_GUARD: CrashGuard = {
  isSuspect: () => false,
  isProven: () => false,
  takeTrial: () => Promise.resolve(true),
  awaitTrial: () => Promise.resolve({ isGranted: true, retryAfterMs: 0 }),
  endTrial: () => {},
  retryAfterMs: () => 0,
  onBroken: () => Promise.resolve(),
  onCompleted: () => {},
};
