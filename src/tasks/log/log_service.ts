/** A replicated log whose proposals are resolved once they are applied. */
import type { ConsensusMessage, LogEntry } from "../../core/consensus/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { LogDriver } from "./log_driver.ts";
import type { LogDriverOptions } from "./log_driver_options.ts";
import { ProposalWaiters } from "./proposal_waiters.ts";
import type { StateMachine } from "./state_machine.ts";

/** Options of {@link LogService}. */
export type LogServiceOptions<C, S, A, M extends StateMachine<C, S, A>> =
  & Omit<
    LogDriverOptions<C, S, A, M>,
    "onApplied" | "onRestored" | "onRole"
  >
  & {
    /** Called for each applied command. */
    readonly onApplied: (command: C, result: A) => void;
    /** Called when the state has been loaded from a snapshot, also at start. */
    readonly onRestored: () => void;
    /** Called when this replica becomes leader or ceases to be. */
    readonly onRole: (isLeader: boolean) => void;
    readonly metrics: Metrics;
  };

/** Time for the new leader to take over before this replica stops. */
const LEADERSHIP_TRANSFER_MS = 300;
const RETRY_AFTER_MS = 500;

/** Owns a replica of a log and the proposals that wait for its entries. */
export class LogService<C, S, A, M extends StateMachine<C, S, A>> {
  readonly driver: LogDriver<C, S, A, M>;
  readonly #options: LogServiceOptions<C, S, A, M>;
  readonly #waiters = new ProposalWaiters<A>(createUnavailableError);

  constructor(options: LogServiceOptions<C, S, A, M>) {
    this.#options = options;
    this.driver = new LogDriver<C, S, A, M>({
      ...options,
      onApplied: (entry, result) => this.#onEntry(entry, result),
      onRestored: () => options.onRestored(),
      onRole: (isLeader) => this.#onRole(isLeader),
    });
  }

  /** Gets the state after the last entry applied by this replica. */
  get state(): M {
    return this.driver.state;
  }

  /** Gets the term that this replica leads; undefined if it takes no commands. */
  get leadsTerm(): number | undefined {
    return this.takesCommands ? this.driver.node?.term : undefined;
  }

  /** Gets the index of the last entry applied by this replica. */
  get applied(): number {
    return this.driver.applied;
  }

  /**
   * Gets whether this replica leads and takes commands, also while committed
   * entries of its own wait for a write.
   */
  get takesCommands(): boolean {
    return this.driver.hasAppliedEarlierTerms;
  }

  /** Processes a message from another replica. */
  receive(message: ConsensusMessage<C, S>): void {
    this.driver.receive(message);
  }

  /**
   * Proposes a command and waits until it is applied.
   * @throws RefusalError with verdict `notRun` if it will never be applied, or
   *     `mayHaveRun` if it may still be.
   */
  propose(command: C): Promise<A> {
    const position = this.takesCommands
      ? this.driver.propose(command)
      : undefined;
    if (position === undefined) {
      return Promise.reject(createUnavailableError(Verdict.NotRun));
    }
    const proposedAt = performance.now();
    const { metrics } = this.#options;
    return this.#waiters.waitUntilApplied(position).then((result) => {
      metrics.timing("log.proposeDuration", performance.now() - proposedAt);
      return result;
    });
  }

  /**
   * Waits until a quorum confirms that this replica still leads.
   * @throws RefusalError with the verdict, if it does not lead or no quorum
   *     answers in time.
   */
  async confirmLeadership(
    timeoutMs: number,
    verdict: Verdict = Verdict.NotRun,
  ): Promise<void> {
    if (await this.driver.confirmLeadership(timeoutMs)) return;
    throw createUnavailableError(verdict);
  }

  /** Transfers leadership and stops the replica. */
  async stop(): Promise<void> {
    this.driver.transferLeadership();
    await new Promise((resolve) => setTimeout(resolve, LEADERSHIP_TRANSFER_MS));
    await this.driver.stop();
  }

  /** Updates the gauges of the log. */
  updateGauges(): void {
    const { metrics } = this.#options;
    metrics.gauge("log.applied", this.driver.applied);
    const { logBytes = 0, keptBytes = 0 } = this.driver.node ?? {};
    metrics.gauge("log.bytes", logBytes + keptBytes);
    metrics.gauge("log.leads", this.leadsTerm ?? 0);
  }

  #onEntry(entry: LogEntry<C>, result: A | undefined): void {
    const { content } = entry;
    if (content.type === "command" && result !== undefined) {
      this.#options.onApplied(content.command, result);
    }
    this.#waiters.onApplied(entry, result);
  }

  #onRole(isLeader: boolean): void {
    if (!isLeader) this.#waiters.rejectAll();
    this.#options.onRole(isLeader);
  }
}

/** Creates the refusal for a log that this replica does not lead. */
function createUnavailableError(verdict: Verdict): RefusalError {
  return new RefusalError(RefusalReason.ControlUnavailable, verdict, {
    message: "The log has no leader here",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
