/** An entry instance: lets callers in, passes calls on, reaches the ledger. */
import {
  type BatchSpec,
  ResultCache,
  type ResultPage,
} from "../../core/batches/mod.ts";
import {
  type CallAnswer,
  type CallRequest,
  LatencyBook,
  UsageCounter,
  type UsageWindows,
} from "../../core/calls/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import type { CallerLimits } from "../../core/policy/mod.ts";
import { type TargetRegistry, TargetState } from "../../core/registry/mod.ts";
import type { RefusalError } from "../../core/verdict/mod.ts";
import {
  BatchMethod,
  type BatchParams,
  type BodyParams,
  type ReadParams,
} from "../batches/mod.ts";
import {
  type Admission,
  type AnswerStream,
  CallGate,
  CallRun,
  type TargetPort,
} from "../calls/mod.ts";
import type { FleetFollower } from "./fleet_follower.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link EntryTask}. */
export interface EntryTaskOptions {
  readonly node: FleetNode;
  readonly follower: FleetFollower;
  readonly registry: TargetRegistry;
  readonly targets: TargetPort;
}

/** Options of {@link EntryTask.forward}. */
export interface ForwardOptions {
  readonly admission: Admission;
  /** Tells that the caller has left. */
  readonly signal: AbortSignal;
  readonly arrivedAt: number;
  readonly stream: AnswerStream | undefined;
}

/** An answer to a forwarded call. */
export interface ForwardedAnswer extends CallAnswer {
  /** Whether a streamed answer came to its end. */
  readonly isWhole: boolean;
}

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Texts of results that are kept in memory. */
const CACHED_BYTES = 16_777_216;
const MAX_PAGE_BYTES = 700_000;
const SUBMIT_TIMEOUT_MS = 3_000;
const LEDGER_TIMEOUT_MS = 1_300;
/** Time for a question beyond the time that it is to wait. */
const READ_SLACK_MS = 1_000;

/** Owns what one entry instance does for callers. */
export class EntryTask {
  readonly #options: EntryTaskOptions;
  readonly #gate: CallGate;
  readonly #book = new LatencyBook();
  readonly #results = new ResultCache(CACHED_BYTES);
  readonly #usage: UsageCounter;
  #isDraining = false;

  /** Creates the task. */
  constructor(options: EntryTaskOptions) {
    this.#options = options;
    const { node, follower } = options;
    this.#usage = new UsageCounter(node.settings.times.usageWindowMs);
    this.#gate = new CallGate({
      policy: () => follower.policy,
      awaitLease: () => follower.awaitLease(),
    });
  }

  /** Gets whether callers should come here. */
  get isReady(): boolean {
    const { follower } = this.#options;
    if (this.#isDraining || follower.policy === undefined) return false;
    return follower.hasLease || !follower.policy.needsKeys;
  }

  /** Gets the limits in force. */
  get limits(): CallerLimits {
    return this.#options.follower.policy?.document.limits ?? DEFAULT_LIMITS;
  }

  /** Gets the requests begun, by window and workspace. */
  get usage(): UsageWindows {
    return this.#usage.save();
  }

  /** Takes no callers any more. */
  drain(): this {
    this.#isDraining = true;
    return this;
  }

  /** Forgets targets that are gone. */
  onTargetsChanged(): void {
    const known = this.#options.registry.all
      .filter(({ report }) => report.state !== TargetState.Gone);
    this.#book.keepOnly(new Set(known.map(({ report }) => report.id)));
    this.#options.targets
      .keepOnly(new Set(known.map(({ report }) => report.address)));
  }

  /** Lets a call in. */
  admit(call: CallRequest): Promise<Admission> {
    return this.#gate.admit(call);
  }

  /** Lets a caller in by its key. */
  admitKey(host: string, key: string | undefined): Promise<string> {
    return this.#gate.admitKey(host, key);
  }

  /**
   * Passes a call on to targets.
   * @throws RefusalError whose verdict says whether it may have run.
   */
  async forward(
    call: CallRequest,
    options: ForwardOptions,
  ): Promise<ForwardedAnswer> {
    const { node, follower, registry, targets } = this.#options;
    const { admission, signal, stream, arrivedAt } = options;
    let hasHead = false;
    const run = new CallRun({
      targets,
      registry,
      book: this.#book,
      logger: node.logger,
      metrics: node.metrics,
      dataCentre: node.settings.dataCentre,
      awaitLease: () => follower.awaitLease(),
      onRan: (workspace) => {
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
      },
    });
    try {
      const answer = await run.run();
      const tookMs = performance.now() - arrivedAt;
      node.metrics.count("requests.completed");
      node.metrics.timing("requests.duration", tookMs);
      node.logger.event("callAnswered", {
        request: call.id,
        route: admission.route.name,
        revision: admission.policy.revision,
        status: answer.status,
        tookMs: Math.round(tookMs),
      });
      return { ...answer, isWhole: true };
    } catch (err) {
      if (!hasHead) throw err;
      this.onRefused(call.id, err as RefusalError);
      return { status: 0, headers: [], body: NO_BYTES, isWhole: false };
    }
  }

  /** Stores a batch at the ledger. */
  async submit(spec: BatchSpec): Promise<void> {
    await this.#ask(BatchMethod.Submit, { spec }, SUBMIT_TIMEOUT_MS);
  }

  /** Reads results of a batch; what was seen once is not asked again. */
  async readBatch(params: ReadParams): Promise<ResultPage> {
    const held = this.#results.get(params, MAX_PAGE_BYTES);
    if (held !== undefined) return held;
    const timeoutMs = params.waitMs + READ_SLACK_MS;
    const answer = await this.#ask(BatchMethod.Read, params, timeoutMs);
    const page = answer as ResultPage;
    this.#results.add(params, page);
    return page;
  }

  /** Reads the body of an item. */
  async readItem(params: BodyParams): Promise<Uint8Array> {
    const answer = await this.#ask(BatchMethod.Body, params, LEDGER_TIMEOUT_MS);
    return answer as Uint8Array;
  }

  /** Ends a batch. */
  async endBatch(params: BatchParams): Promise<void> {
    await this.#ask(BatchMethod.End, params, LEDGER_TIMEOUT_MS);
  }

  /** Records why a request was refused. */
  onRefused(id: string, refusal: RefusalError): void {
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

  #ask(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    return this.#options.node.askLeader(FleetRole.Ledger, method, {
      params,
      timeoutMs,
      attemptMs: timeoutMs,
    });
  }
}

const NO_BYTES = new Uint8Array();
