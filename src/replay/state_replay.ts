/** Replays the trace lines for the control log, ledger, steps and feeds. */
import { type ControlCommand, ControlState } from "../core/control/mod.ts";
import { FeedNode, type FeedRenew } from "../core/feed/mod.ts";
import { createKeyRecord, formatKey } from "../core/keys/mod.ts";
import {
  type LedgerRecord,
  LedgerState,
  type StepKey,
} from "../core/ledger/mod.ts";
import { type OrderSend, OrderSender } from "../core/orders/mod.ts";
import {
  type CompletedSample,
  StalenessGate,
  StepRunner,
  type StepSpec,
} from "../core/samples/mod.ts";
import { RefusalError } from "../core/verdict/mod.ts";
import type { ReplayHandler } from "./dispatch_replay.ts";

const SECRET = "0123456789abcdef";
const MODEL = "m";
const FEED_TIMING = { leaseMs: 3_000, clockRateError: 0.02 };
const ORDER_TIMING = {
  leaseMs: 1_500,
  longestSendMs: 1_000,
  clockRateError: 0.02,
};

/** Runs the state machines of one trace. */
export class StateReplay {
  #control = new ControlState();
  #ledger = new LedgerState();
  readonly #gate = new StalenessGate();
  readonly #sender = new OrderSender({ times: ORDER_TIMING });
  readonly #feeds = new Map<string, FeedNode>();
  #runner: StepRunner | undefined;

  /** Handlers by the action of the line. */
  readonly handlers: Readonly<Record<string, ReplayHandler>> = {
    command: (params) =>
      this.#control.apply(params as unknown as ControlCommand),
    record: (params) => {
      const err = this.#ledger.apply(params as unknown as LedgerRecord);
      return err === undefined
        ? { type: "applied" }
        : { type: "rejected", invariant: err.invariant };
    },
    createKey: ({ id, workspace }) => {
      const key = createKeyRecord({
        id: String(id),
        workspace: String(workspace),
        secret: SECRET,
        salt: "00",
      });
      return this.#control.apply({ type: "putKey", key });
    },
    present: ({ id, secret }) => this.#authenticate(String(id), secret),
    restart: () => {
      const control = JSON.parse(JSON.stringify(this.#control.save()));
      const ledger = JSON.parse(JSON.stringify(this.#ledger.save()));
      this.#control = new ControlState().load(control);
      this.#ledger = new LedgerState().load(ledger);
      return { revision: this.#control.configuration.revision };
    },
    configuration: () => ({
      revision: this.#control.configuration.revision,
      document: this.#control.configuration.document,
    }),
    readSamples: (params) => this.#readSamples(params),
    usage: () => ({
      open: this.#ledger.usage.open,
      sealed: this.#ledger.usage.sealed,
    }),
    weights: ({ version }, now) => {
      this.#gate.announce(Number(version), now);
      return this.#runner?.onVersionAnnounced(now) ?? {};
    },
    step: (params, now) => this.#startStep(params, now),
    placed: ({ id, target }, now) => {
      this.#runner?.onPlaced(String(id), String(target), now);
      return {};
    },
    made: (params, now) => this.#completeSample(params, now),
    ready: (_params, now) =>
      this.#runner?.peekReady(1_000, now).map((sample) => sample.slot),
    lead: ({ term, leaseEnd }, now) => this.#listDueOrders(term, leaseEnd, now),
    sendFailed: ({ id }, now) => {
      this.#sender.onFailed(String(id), now);
      return {};
    },
    feed: ({ id, dataCentre }) => {
      this.#getOrCreateFeed(String(id), String(dataCentre ?? "dc"));
      return {};
    },
    feedApplied: ({ id, index }) => {
      const feed = this.#getOrCreateFeed(String(id));
      const entries = [];
      for (let i = feed.applied + 1; i <= Number(index); i += 1) {
        entries.push({ index: i });
      }
      feed.onApplied(entries);
      return { applied: feed.applied };
    },
    feedRoot: ({ id, hasLease, since }) => {
      const root = { hasLease: Boolean(hasLease), since: Number(since) };
      this.#getOrCreateFeed(String(id)).setRootStatus(root);
      return {};
    },
    feedRenew: ({ from, to }, now) => {
      const downstream = this.#getOrCreateFeed(String(from));
      const renew: FeedRenew = downstream.renew(now);
      const grant = this.#getOrCreateFeed(String(to)).onRenew(renew, now);
      downstream.onApplied(downstream.onGrant(grant).entries);
      downstream.onGrantApplied(grant);
      return {
        hasLease: downstream.hasLease(now),
        applied: downstream.applied,
      };
    },
    feedLease: ({ id }, now) => ({
      hasLease: this.#getOrCreateFeed(String(id)).hasLease(now),
    }),
    feedForce: ({ id, index, homes }, now) =>
      this.#getOrCreateFeed(String(id))
        .inForceStatus(Number(index), (homes ?? []) as string[], now),
  };

  #authenticate(id: string, secret: unknown): unknown {
    try {
      const key = formatKey({ id, secret: String(secret ?? SECRET) });
      const record = this.#control.keys.authenticateOrThrow(key);
      return { workspace: record.workspace };
    } catch (err) {
      if (!(err instanceof RefusalError)) throw err;
      return { reason: err.reason, verdict: err.verdict };
    }
  }

  #readSamples(params: Readonly<Record<string, unknown>>): unknown {
    const step = this.#ledger.getStep(params as unknown as StepKey);
    return {
      status: step?.status,
      samples: step?.read(Number(params.after ?? 0))
        .map(({ number, slot, text }) => ({ number, slot, text })),
    };
  }

  #startStep(params: Readonly<Record<string, unknown>>, now: number): unknown {
    const spec = {
      id: "s",
      workspace: "w",
      keyId: "k",
      route: "r",
      model: MODEL,
      staleness: { maxVersionsBehind: 1 },
      deadline: 0,
      tokensPerSample: 10,
      ...params,
    } as unknown as StepSpec;
    this.#runner = new StepRunner(spec, {
      gate: this.#gate,
      hash: (text) => text,
      maxAttempts: 3,
    });
    const { submit } = this.#runner.start(now);
    return submit.map(({ id, minVersion }) => ({ id, minVersion }));
  }

  #completeSample(
    params: Readonly<Record<string, unknown>>,
    now: number,
  ): unknown {
    const { id, ...change } = params;
    const slot = this.#runner?.getSlotOf(String(id))?.index ?? 0;
    const sample = {
      slot,
      text: "",
      finishReason: "stop",
      tokens: 1,
      versions: [],
      firstTokenAt: now,
      targetId: "t",
      ...change,
    } as CompletedSample;
    return this.#runner?.onCompleted(String(id), sample, now);
  }

  #listDueOrders(term: unknown, leaseEnd: unknown, now: number): unknown {
    const leadershipStatus = {
      term: typeof term === "number" ? term : undefined,
      leaseEnd: typeof leaseEnd === "number" ? leaseEnd : -Infinity,
    };
    const { openOrders } = this.#control;
    return this.#sender.due(openOrders, leadershipStatus, now)
      .map(({ order, fencing, attempt, timeoutMs }: OrderSend) => ({
        id: order.id,
        ...fencing,
        attempt,
        timeoutMs,
      }));
  }

  #getOrCreateFeed(id: string, dataCentre = "dc"): FeedNode {
    let feed = this.#feeds.get(id);
    if (feed !== undefined) return feed;
    feed = new FeedNode({
      self: id,
      dataCentre,
      times: FEED_TIMING,
      getSnapshot: () => new ControlState().save(),
    });
    this.#feeds.set(id, feed);
    return feed;
  }
}
