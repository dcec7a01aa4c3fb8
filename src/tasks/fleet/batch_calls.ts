/** Calls of batches at an entry instance, which the ledger answers. */
import type { BatchSpec, ResultPage } from "../../core/batches/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import { findScoringFaults } from "../../core/scoring/mod.ts";
import { isUnknown } from "../../core/verdict/mod.ts";
import {
  BatchMethod,
  type BodyParams,
  type ReadParams,
  type SubmitParams,
} from "../batches/mod.ts";
import {
  type Admission,
  type CallerIdentity,
  requestAs,
} from "../calls/mod.ts";
import { BatchEnder, type BatchRequest } from "./batch_ender.ts";
import { BatchHomes } from "./batch_homes.ts";
import { BatchReader } from "./batch_reader.ts";
import type { DrainClock } from "./drain_clock.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { LeaderRequestTimes } from "./leader_client.ts";

/** Options of {@link BatchCalls}. */
export interface BatchCallsOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  /**
   * Identifies a caller.
   * @throws RefusalError if keys cannot be checked now.
   */
  readonly identify: (key: string | undefined) => Promise<CallerIdentity>;
  /** Bounds requests while the instance drains. */
  readonly drainClock: DrainClock;
}

/** Request of a caller for results. */
export interface ReadRequest
  extends BatchRequest, Omit<ReadParams, "workspace"> {}

/** Request of a caller for the body of an item. */
export interface BodyRequest
  extends BatchRequest, Omit<BodyParams, "workspace"> {}

const SUBMIT_TIMEOUT_MS = 3_000;
const BODY_TIMEOUT_MS = 1_300;
/** Time for one member, so that a silent leader leaves time for another one. */
const BODY_ATTEMPT_MS = 450;
/** Time in which the ledger usually answers. */
const LEDGER_ANSWER_MS = 300;
/** Position at which a page has no results. */
const AFTER_ALL_RESULTS = Number.MAX_SAFE_INTEGER;

/**
 * Sends the calls of batches to the ledger, for the workspace of their caller.
 *
 * @example
 * ```ts
 * const page = await calls.read({ key, batch, after: 0, waitMs: 1_000 });
 * ```
 */
export class BatchCalls {
  readonly #options: BatchCallsOptions;
  readonly #reader: BatchReader;
  readonly #homes: BatchHomes;
  readonly #ender: BatchEnder;

  constructor(options: BatchCallsOptions) {
    this.#options = options;
    this.#reader = new BatchReader({
      ...options,
      readLeader: (params, timeoutMs) =>
        this.#requestLedger(BatchMethod.Read, params, { timeoutMs }),
    });
    this.#homes = new BatchHomes(options);
    this.#ender = new BatchEnder(options);
  }

  /**
   * Submits a batch to the ledger.
   * @throws RefusalError if no route matches a scoring call of its items, if it
   * would leave its homes, or if the ledger does not accept it in time.
   */
  async submit(spec: BatchSpec, { policy }: Admission): Promise<void> {
    this.#homes.throwIfOutside(spec);
    const params: SubmitParams = {
      spec,
      faults: findScoringFaults(spec, policy),
    };
    await this.#requestLedger(BatchMethod.Submit, params, {
      timeoutMs: this.#bound(SUBMIT_TIMEOUT_MS),
    });
  }

  /**
   * Reads a page of batch results.
   * @throws RefusalError if the batch is not open to the caller, or the ledger
   * does not answer in time.
   */
  async read({ key, ...request }: ReadRequest): Promise<ResultPage> {
    const caller = await this.#options.identify(key);
    const longestMs = request.waitMs + LEDGER_ANSWER_MS;
    const boundMs = this.#bound(longestMs);
    const waitMs = Math.min(request.waitMs, boundMs - LEDGER_ANSWER_MS);
    return await requestAs(
      caller,
      (workspace) => this.#reader.read({ ...request, workspace, waitMs }),
    );
  }

  /**
   * Gets whether a batch has been accepted, for a caller who submits it again
   * where no route takes it any more.
   * @throws RefusalError if that is not certain.
   */
  async has({ key, batch }: BatchRequest): Promise<boolean> {
    const { workspace } = await this.#options.identify(key);
    try {
      const params: ReadParams = {
        workspace,
        batch,
        after: AFTER_ALL_RESULTS,
        waitMs: 0,
      };
      await this.#requestLedger(BatchMethod.Read, params, {
        timeoutMs: this.#bound(SUBMIT_TIMEOUT_MS),
      });
      return true;
    } catch (err) {
      if (isUnknown(err)) return false;
      throw err;
    }
  }

  /**
   * Reads the body of an item from the ledger.
   * @throws RefusalError if the batch is not open to the caller, or the ledger
   * does not answer in time.
   */
  async readItem({ key, ...request }: BodyRequest): Promise<Uint8Array> {
    const caller = await this.#options.identify(key);
    const times = {
      timeoutMs: this.#bound(BODY_TIMEOUT_MS),
      attemptMs: BODY_ATTEMPT_MS,
    };
    const reply = await requestAs(caller, (workspace) => {
      const params: BodyParams = { ...request, workspace };
      return this.#requestLedger(BatchMethod.Body, params, times);
    });
    return reply as Uint8Array;
  }

  /**
   * Ends a batch at the ledger, also if that takes longer than the answer.
   * @throws RefusalError if the batch is not open to the caller, or,
   * with verdict `mayHaveRun`, if the end is not confirmed yet.
   */
  async end(request: BatchRequest): Promise<void> {
    await this.#ender.end(request);
  }

  /** Waits for some time until the ends of batches are confirmed. */
  async settleEnds(timeoutMs: number): Promise<void> {
    await this.#ender.settle(timeoutMs);
  }

  /** Bounds the time of a request by what is left while this instance drains. */
  #bound(timeoutMs: number): number {
    return this.#options.drainClock.bound(timeoutMs, LEDGER_ANSWER_MS);
  }

  #requestLedger(
    method: string,
    params: unknown,
    { timeoutMs, attemptMs = timeoutMs }: LeaderRequestTimes,
  ): Promise<unknown> {
    return this.#options.node.requestLeader(FleetRole.Ledger, method, {
      params,
      timeoutMs,
      attemptMs,
    });
  }
}
