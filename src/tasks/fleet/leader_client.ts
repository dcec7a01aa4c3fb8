/** Requests to the leaders of the fleet's logs. */
import type { FleetRole } from "../../core/fleet/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { delay } from "../delay.ts";
import type { PeerHub } from "../peers/mod.ts";

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  readonly hub: Pick<PeerHub, "request" | "isLinked">;
  /** Gets the instance that leads a role's log; undefined if none is known. */
  readonly leaderOf: (role: FleetRole) => string | undefined;
  /** Gets the members of a role that were reported recently. */
  readonly membersOf: (role: FleetRole) => readonly string[];
}

/** An attempt of a request at a member that did not answer as the leader. */
export interface FailedAttempt {
  readonly member: string;
  readonly reason: RefusalReason;
  readonly verdict: Verdict;
  readonly tookMs: number;
}

/** Times of a request to a leader. */
export interface LeaderRequestTimes {
  /** Time for all attempts together, in milliseconds. */
  readonly timeoutMs: number;
  /** Time for one attempt, in milliseconds. */
  readonly attemptMs?: number;
}

/** Options of {@link LeaderClient.request}. */
export interface LeaderRequestOptions extends LeaderRequestTimes {
  readonly params: unknown;
  /** Called with each failed attempt. */
  readonly onFailed?: (attempt: FailedAttempt) => void;
}

const RETRY_DELAY_MS = 60;
const ATTEMPT_MS = 1_200;
const RETRY_AFTER_MS = 1_000;

/** Finds the leader of a log, and retries while there is none. */
export class LeaderClient {
  readonly #options: LeaderClientOptions;

  constructor(options: LeaderClientOptions) {
    this.#options = options;
  }

  /**
   * Sends a request to the leader of a role's log and retries it at other
   * members while there is no leader. The request must be idempotent.
   * @throws RefusalError from the leader, or if no leader answered in time.
   */
  async request(
    role: FleetRole,
    method: string,
    options: LeaderRequestOptions,
  ): Promise<unknown> {
    const endsAt = performance.now() + options.timeoutMs;
    let failure = createNoLeaderError(Verdict.NotRun);
    const tried = new Set<string>();
    while (performance.now() < endsAt) {
      const id = this.#nextCandidate(role, tried);
      const leftMs = endsAt - performance.now();
      if (id !== undefined) {
        const startedAt = performance.now();
        try {
          const timeoutMs = Math.min(leftMs, options.attemptMs ?? ATTEMPT_MS);
          const { params } = options;
          return await this.#options.hub.request(id, method, {
            params,
            timeoutMs,
          });
        } catch (err) {
          options.onFailed?.(describeAttempt(id, err, startedAt));
          failure = mergeFailures(failure, err);
          if (!isRetryable(failure)) throw failure;
          tried.add(id);
        }
      }
      await delay(
        Math.min(RETRY_DELAY_MS, Math.max(1, endsAt - performance.now())),
      );
    }
    throw failure;
  }

  /**
   * Selects the known leader if it has not been tried, or else another member
   * of the role that has not, and a linked one first: a request to a member that
   * is down waits for its link. When all have been tried, it starts over.
   */
  #nextCandidate(role: FleetRole, tried: Set<string>): string | undefined {
    const leader = this.#options.leaderOf(role);
    if (leader !== undefined && !tried.has(leader)) return leader;
    const members = this.#options.membersOf(role);
    const untried = members.filter((id) => !tried.has(id));
    const next = untried.find((id) => this.#options.hub.isLinked(id)) ??
      untried[0];
    if (next !== undefined) return next;
    tried.clear();
    return leader ?? members[0];
  }
}

function describeAttempt(
  member: string,
  err: unknown,
  startedAt: number,
): FailedAttempt {
  const { reason, verdict } = toRefusal(err);
  const tookMs = Math.round(performance.now() - startedAt);
  return { member, reason, verdict, tookMs };
}

function toRefusal(err: unknown): RefusalError {
  if (err instanceof RefusalError) return err;
  return new RefusalError(RefusalReason.Internal, Verdict.MayHaveRun, {
    cause: err,
  });
}

function isRetryable(err: RefusalError): boolean {
  return err.reason === RefusalReason.ControlUnavailable ||
    err.reason === RefusalReason.LedgerUnavailable;
}

/** Merges failures: if one attempt may have run, the request may have run. */
function mergeFailures(previous: RefusalError, err: unknown): RefusalError {
  if (!(err instanceof RefusalError)) return toRefusal(err);
  if (!isRetryable(err)) return err.afterAttempt(previous.verdict);
  return previous.verdict === Verdict.NotRun ? err : previous;
}

/** Creates the refusal for a log without a reachable leader. */
function createNoLeaderError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "No leader answered",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
