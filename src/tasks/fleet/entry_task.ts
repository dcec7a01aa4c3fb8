/** An entry instance: admits and forwards calls. */
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
import type { RefusalError } from "../../core/verdict/mod.ts";
import {
  type Admission,
  type CallerHead,
  CallGate,
  CallRun,
  type CallSpread,
  type CrashGuard,
  type RateGuard,
  type ResponseStream,
  type TargetPort,
} from "../calls/mod.ts";
import { createRandom } from "../random.ts";
import { BatchCalls } from "./batch_calls.ts";
import { DrainClock } from "./drain_clock.ts";
import type { FleetFollower } from "./fleet_follower.ts";
import type { FleetNode } from "./fleet_node.ts";
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

/** Serves callers on one entry instance. */
export class EntryTask {
  /** Serves the calls of batches. */
  readonly batches: BatchCalls;
  readonly #options: EntryTaskOptions;
  readonly #gate: CallGate;
  readonly #latencies = new LatencyTracker();
  readonly #usage: UsageCounter;
  readonly #streams: StreamRecords;
  readonly #spread: CallSpread;
  readonly #drainClock = new DrainClock();
  #isDraining = false;

  constructor(options: EntryTaskOptions) {
    this.#options = options;
    const { node, follower } = options;
    this.#streams = new StreamRecords(node);
    this.#spread = {
      instances: () =>
        node.senders.length -
        node.roster.membersOf(FleetRole.Ledger, node.now).length,
      random: createRandom(),
    };
    this.#usage = new UsageCounter(node.settings.times.usageWindowMs);
    this.#gate = new CallGate({
      policy: () => follower.policy,
      awaitLease: (maxWaitMs) => follower.awaitLease(maxWaitMs),
      hasLease: () => follower.hasLease,
      hasControlLeader: () => node.leaderOf(FleetRole.Control) !== undefined,
    });
    this.batches = new BatchCalls({
      ...options,
      identify: (key) => this.#gate.identify(key),
      drainClock: this.#drainClock,
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
  admit(call: CallerHead): Promise<Admission> {
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
}

const EMPTY_BODY = new Uint8Array();
