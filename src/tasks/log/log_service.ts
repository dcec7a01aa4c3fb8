/** Proposals to a replicated log, answered once they are applied. */
import type { ConsensusMessage, LogEntry } from "../../core/consensus/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { LogDriver, type LogDriverOptions } from "./log_driver.ts";
import { ProposalWaiters } from "./proposal_waiters.ts";
import type { StateMachine } from "./state_machine.ts";

/** Options of {@link LogService}. */
export type LogServiceOptions<C, S, A, M extends StateMachine<C, S, A>> =
  & Omit<
    LogDriverOptions<C, S, A, M>,
    "onApplied" | "onRestored" | "onRole"
  >
  & {
    /** Hears of an applied command. */
    readonly onApplied: (command: C, answer: A) => void;
    /** Hears that the state was replaced as a whole. */
    readonly onRestored: () => void;
    /** Hears of the begin and end of leading. */
    readonly onRole: (isLeader: boolean) => void;
    readonly metrics: Metrics;
  };

/** Time for the new leader to take over before this replica stops. */
const HANDOVER_MS = 300;
const RETRY_AFTER_MS = 500;

/** Owns a replica of a log and those who wait for its entries. */
export class LogService<C, S, A, M extends StateMachine<C, S, A>> {
  readonly driver: LogDriver<C, S, A, M>;
  readonly #options: LogServiceOptions<C, S, A, M>;
  readonly #waiters = new ProposalWaiters<A>(unavailable);

  /** Creates the service; it does not run yet. */
  constructor(options: LogServiceOptions<C, S, A, M>) {
    this.#options = options;
    this.driver = new LogDriver<C, S, A, M>({
      ...options,
      onApplied: (entry, answer) => this.#onEntry(entry, answer),
      onRestored: () => options.onRestored(),
      onRole: (isLeader) => this.#onRole(isLeader),
    });
  }

  /** Gets the state as far as it has been applied here. */
  get state(): M {
    return this.driver.state;
  }

  /** Gets the term that this replica leads; undefined where it does not. */
  get leadsTerm(): number | undefined {
    return this.driver.isReady ? this.driver.node?.term : undefined;
  }

  /** Takes in a message of another replica. */
  receive(message: ConsensusMessage<C, S>): void {
    this.driver.receive(message);
  }

  /**
   * Proposes a command and waits until it is applied.
   * @throws RefusalError with verdict `notRun` where it will never be applied,
   * and `mayHaveRun` where that is open.
   */
  propose(command: C): Promise<A> {
    const position = this.driver.isReady
      ? this.driver.propose(command)
      : undefined;
    if (position === undefined) {
      return Promise.reject(unavailable(Verdict.NotRun));
    }
    const proposedAt = performance.now();
    const { metrics } = this.#options;
    return this.#waiters.wait(position).then((answer) => {
      metrics.timing("log.proposeDuration", performance.now() - proposedAt);
      return answer;
    });
  }

  /**
   * Waits until this replica is known to lead still.
   * @throws RefusalError with the verdict, where it does not lead or cannot be
   * sure in time.
   */
  async confirmLead(
    timeoutMs: number,
    verdict: Verdict = Verdict.NotRun,
  ): Promise<void> {
    if (await this.driver.confirmLead(timeoutMs)) return;
    throw unavailable(verdict);
  }

  /** Hands the lead over and stops the replica. */
  async stop(): Promise<void> {
    this.driver.yieldLeadership();
    await new Promise((resolve) => setTimeout(resolve, HANDOVER_MS));
    await this.driver.stop();
  }

  /** Sets the gauges of the log. */
  measure(): void {
    const { metrics } = this.#options;
    metrics.gauge("log.applied", this.driver.applied);
    metrics.gauge("log.leads", this.leadsTerm ?? 0);
  }

  #onEntry(entry: LogEntry<C>, answer: A | undefined): void {
    const { content } = entry;
    if (content.type === "command" && answer !== undefined) {
      this.#options.onApplied(content.command, answer);
    }
    this.#waiters.onApplied(entry, answer);
  }

  #onRole(isLeader: boolean): void {
    if (!isLeader) this.#waiters.rejectAll();
    this.#options.onRole(isLeader);
  }
}

/** Creates the refusal of an instance that does not lead the log. */
function unavailable(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "The log has no leader here",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
