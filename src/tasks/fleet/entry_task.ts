/** An entry instance: admits and forwards calls, and relays batches. */
import type { BatchSpec, ResultPage } from "../../core/batches/mod.ts";
import {
  type CallRequest,
  type CallResponse,
  LatencyTracker,
  UsageCounter,
  type UsageWindows,
} from "../../core/calls/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import type { CallerLimits } from "../../core/policy/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import { findScoringFaults } from "../../core/scoring/mod.ts";
import { isUnknown, type RefusalError } from "../../core/verdict/mod.ts";
import {
  BatchMethod,
  type BodyParams,
  type ReadParams,
  type SubmitParams,
} from "../batches/mod.ts";
import {
  type Admission,
  CallGate,
  CallRun,
  type CallSpread,
  type CrashGuard,
  type RateGuard,
  requestAs,
  type ResponseStream,
  type TargetPort,
} from "../calls/mod.ts";
import { createRandom } from "../random.ts";
import { BatchEnder, type BatchRequest } from "./batch_ender.ts";
import { BatchHomes } from "./batch_homes.ts";
import { BatchReader } from "./batch_reader.ts";
import { DrainClock } from "./drain_clock.ts";
import type { FleetFollower } from "./fleet_follower.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { LeaderRequestTimes } from "./leader_client.ts";
import { StreamRecords } from "./stream_records.ts";
import { untilTargetsKnown } from "./targets_wait.ts";

/** Options of {@link EntryTask}. */
export interface EntryTaskOptions {
  readonly node: FleetNode;
  readonly follower: FleetFollower;
  readonly registry: TargetRegistry;
  readonly targets: TargetPort;
  readonly crashes: CrashGuard;
  readonly rates: RateGuard;
}

/** Request of a caller for results. */
export interface ReadRequest
  extends BatchRequest, Omit<ReadParams, "workspace"> {}

/** Request of a caller for the body of an item. */
export interface BodyRequest
  extends BatchRequest, Omit<BodyParams, "workspace"> {}

/** Options of {@link EntryTask.forward}. */
export interface ForwardOptions {
  readonly admission: Admission;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly arrivedAt: number;
  /** Time that the admission took, which counts against the caller's timeout. */
  readonly waitedMs: number;
  readonly stream: ResponseStream | undefined;
}

/** Response to a forwarded call. */
export interface ForwardedResponse extends CallResponse {
  /** Whether the response is complete; false for a stream that broke off. */
  readonly isComplete: boolean;
}

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const SUBMIT_TIMEOUT_MS = 3_000;
const BODY_TIMEOUT_MS = 1_300;
/** Time for one member, so that a silent leader leaves time for another one. */
const BODY_ATTEMPT_MS = 450;
/** Time in which the ledger usually answers. */
const LEDGER_ANSWER_MS = 300;

/** Serves callers on one entry instance. */
export class EntryTask {
  readonly #options: EntryTaskOptions;
  readonly #gate: CallGate;
  readonly #latencies = new LatencyTracker();
  readonly #reader: BatchReader;
  readonly #usage: UsageCounter;
  readonly #streams: StreamRecords;
  readonly #spread: CallSpread;
  readonly #batchHomes: BatchHomes;
  readonly #ender: BatchEnder;
  readonly #drainClock = new DrainClock();
  #isDraining = false;

  constructor(options: EntryTaskOptions) {
    this.#options = options;
    const { node, follower } = options;
    this.#streams = new StreamRecords(node);
    this.#reader = new BatchReader({
      node,
      readLeader: (params, timeoutMs) =>
        this.#requestLedger(BatchMethod.Read, params, { timeoutMs }),
    });
    this.#spread = {
      instances: () =>
        node.senders.length -
        node.roster.membersOf(FleetRole.Ledger, node.now).length,
      random: createRandom(),
    };
    this.#batchHomes = new BatchHomes(options);
    this.#usage = new UsageCounter(node.settings.times.usageWindowMs);
    this.#gate = new CallGate({
      policy: () => follower.policy,
      awaitLease: (maxWaitMs) => follower.awaitLease(maxWaitMs),
      hasLease: () => follower.hasLease,
      hasControlLeader: () => node.leaderOf(FleetRole.Control) !== undefined,
    });
    this.#ender = new BatchEnder({
      node,
      identify: (key) => this.#gate.identify(key),
    });
  }

  /**
   * Gets whether this instance is ready for callers: not draining, with a
   * policy and the evacuated data centres, and with a valid lease if the policy
   * requires API keys.
   */
  get isReady(): boolean {
    const { follower } = this.#options;
    if (this.#isDraining || follower.policy === undefined) return false;
    if (follower.evacuations.version === undefined) return false;
    return follower.hasLease || !follower.policy.needsKeys;
  }

  /**
   * Gets the limits for callers: the policy's, or defaults without a policy.
   */
  get limits(): CallerLimits {
    return this.#options.follower.policy?.document.limits ?? DEFAULT_LIMITS;
  }

  /** Gets the number of started requests, by window and workspace. */
  get usage(): UsageWindows {
    return this.#usage.save();
  }

  /**
   * Reports this instance as not ready from now on, and bounds requests by what
   * is left.
   * @param timeoutMs - Time until the last answer, in milliseconds.
   */
  drain(timeoutMs: number): this {
    this.#isDraining = true;
    this.#drainClock.start(timeoutMs);
    return this;
  }

  /** Drops the latencies and connections of removed targets. */
  onTargetsChanged(): void {
    const present = this.#options.registry.presentReports;
    this.#latencies.keepOnly(new Set(present.map(({ id }) => id)));
    this.#options.targets
      .closeIdleExcept(new Set(present.map(({ address }) => address)));
  }

  /** Admits a call, or rejects with a RefusalError. */
  admit(call: CallRequest): Promise<Admission> {
    return this.#gate.admit(call);
  }

  /**
   * Forwards a call to targets. Once the head of a streamed response has been
   * sent, a failure is logged and returned as an incomplete response.
   * @throws RefusalError whose verdict says whether the call may have run.
   */
  async forward(
    request: CallRequest,
    options: ForwardOptions,
  ): Promise<ForwardedResponse> {
    const { node, follower, registry, targets, crashes, rates } = this
      .#options;
    const { admission, signal, stream, arrivedAt, waitedMs } = options;
    const { timeoutMs = Infinity } = request;
    const wantedMs = Math.min(timeoutMs, admission.route.timeoutMs);
    const elapsedMs = performance.now() - arrivedAt;
    const timeMs = elapsedMs +
      this.#drainClock.limit(admission.route, wantedMs - elapsedMs);
    const leftMs = () => timeMs - (performance.now() - arrivedAt);
    const written = await this.#streams.findWriter(
      { ...request, timeoutMs: timeMs },
      admission,
    );
    if (written !== undefined) await untilTargetsKnown(follower, leftMs());
    // The search for the writer and the waits are part of the call's time.
    const call = {
      ...request,
      timeoutMs: Math.max(
        0,
        written === undefined ? timeMs - waitedMs : leftMs(),
      ),
    };
    let hasHead = false;
    const run = new CallRun({
      targets,
      registry,
      latencies: this.#latencies,
      crashes,
      rates,
      logger: node.logger,
      metrics: node.metrics,
      dataCentre: node.settings.dataCentre,
      spread: this.#spread,
      awaitLease: (maxWaitMs) => follower.awaitLease(maxWaitMs),
      onSigns: (target, signs) => follower.onSigns(target, signs),
      onFirstRun: (workspace) => {
        if (workspace !== undefined) this.#usage.count(workspace, Date.now());
      },
    }, {
      call,
      admission,
      signal,
      stream: stream === undefined ? undefined : {
        onHead: (status, headers) => {
          hasHead = true;
          stream.onHead(status, headers);
        },
        onData: (chunk) => stream.onData(chunk),
        drained: () => stream.drained(),
      },
      written,
      onFirstEvent: (writer) => this.#streams.record(call, admission, writer),
    });
    try {
      const response = await run.run();
      const tookMs = performance.now() - arrivedAt;
      node.metrics.count("requests.completed");
      node.metrics.timing("requests.duration", tookMs);
      node.logger.event("callAnswered", {
        request: call.id,
        route: admission.route.name,
        revision: admission.policy.revision,
        status: response.status,
        tookMs: Math.round(tookMs),
      });
      return { ...response, isComplete: true };
    } catch (err) {
      if (!hasHead) throw err;
      this.logRefusal(call.id, err as RefusalError);
      return { status: 0, headers: [], body: EMPTY_BODY, isComplete: false };
    }
  }

  /**
   * Submits a batch to the ledger.
   * @throws RefusalError if no route matches a scoring call of its items, if it
   * would leave its homes, or if the ledger does not accept it in time.
   */
  async submit(spec: BatchSpec, { policy }: Admission): Promise<void> {
    this.#batchHomes.throwIfOutside(spec);
    const params: SubmitParams = {
      spec,
      faults: findScoringFaults(spec, policy),
    };
    await this.#requestLedger(BatchMethod.Submit, params, {
      timeoutMs: this.#drainClock.bound(SUBMIT_TIMEOUT_MS, LEDGER_ANSWER_MS),
    });
  }

  /**
   * Reads a page of batch results.
   * @throws RefusalError if the batch is not open to the caller, or the ledger
   * does not answer in time.
   */
  async readBatch({ key, ...request }: ReadRequest): Promise<ResultPage> {
    const caller = await this.#gate.identify(key);
    const longestMs = request.waitMs + LEDGER_ANSWER_MS;
    const boundMs = this.#drainClock.bound(longestMs, LEDGER_ANSWER_MS);
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
  async hasBatch({ key, batch }: BatchRequest): Promise<boolean> {
    const { workspace } = await this.#gate.identify(key);
    try {
      const params: ReadParams = { workspace, batch, after: 0, waitMs: 0 };
      await this.#requestLedger(BatchMethod.Read, params, {
        timeoutMs: this.#drainClock.bound(SUBMIT_TIMEOUT_MS, LEDGER_ANSWER_MS),
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
    const caller = await this.#gate.identify(key);
    const times = {
      timeoutMs: this.#drainClock.bound(BODY_TIMEOUT_MS, LEDGER_ANSWER_MS),
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
  async endBatch(request: BatchRequest): Promise<void> {
    await this.#ender.end(request);
  }

  /** Waits for some time until the ends of batches are confirmed. */
  async settleEnds(timeoutMs: number): Promise<void> {
    await this.#ender.settle(timeoutMs);
  }

  /** Counts and logs the refusal of a request. */
  logRefusal(id: string, refusal: RefusalError): void {
    this.#options.node.metrics.count(`refusals.${refusal.reason}`);
    this.#options.node.logger.event("callRefused", {
      request: id,
      reason: refusal.reason,
      verdict: refusal.verdict,
      detail: refusal.message,
      revision: this.#options.follower.policyRevision,
      hasLease: this.#options.follower.hasLease,
    });
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

const EMPTY_BODY = new Uint8Array();
