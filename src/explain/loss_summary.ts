/** Summary of what was not served in time, by what lost it. */
import type { EventName } from "../logging/mod.ts";
import { eventOf, type LogLine, parseLine } from "./log_line.ts";

/** What one decision or wait lost in the logs of a period. */
export interface Loss {
  /** Kind of what was lost: `call`, `batch` or `item`. */
  readonly kind: "call" | "batch" | "item";
  /** Reason of the refusal, or the last step before the time was up. */
  readonly cause: string;
  readonly count: number;
}

/** A call as the logs tell of it. */
interface Call {
  readonly at: number;
  readonly instance: string;
  /** Reason of its last refusal; undefined if it has no final line. */
  readonly reason: string | undefined;
}

/** A batch that was accepted. */
interface Batch {
  readonly dueAt: number;
  readonly items: number;
  endedAt: number;
  /** Items that were listed as completed in time. */
  served: number;
  /** Last step of the items that were not, by item. */
  readonly steps: Map<string, string>;
}

/** A time from which an instance leads the ledger, or none does. */
interface LeaderChange {
  readonly at: number;
  readonly instance: string | undefined;
}

type Handler = (ledger: LossLedger, line: LogLine, at: number) => void;

/** Name of the log that the ledger's leader leads. */
const LEDGER_LOG = "batches";
const NOT_STARTED = "notPlaced";
const NO_LEADER = "noLeader";
const PROCESS_ENDED = "processEnded";
const UNANSWERED = "unanswered";

const HANDLERS: Partial<Readonly<Record<EventName, Handler>>> = {
  callPlaced: (ledger, line, at) => ledger.onCallStep(line, at),
  callAnswered: (ledger, line) => ledger.onCallAnswered(line),
  callRefused: (ledger, line, at) => ledger.onCallRefused(line, at),
  batchAccepted: (ledger, line, at) => ledger.onBatchAccepted(line, at),
  batchRefused: (ledger, line) => ledger.onBatchRefused(line),
  batchEnded: (ledger, line, at) => ledger.onBatchEnded(line, at),
  itemPlaced: (ledger, line, at) => ledger.onItemStep(line, at, "placed"),
  itemSent: (ledger, line, at) => ledger.onItemStep(line, at, "sent"),
  itemMoved: (ledger, line, at) => ledger.onItemStep(line, at, "moved"),
  itemBroken: (ledger, line, at) => ledger.onItemStep(line, at, "broken"),
  itemWithheld: (ledger, line, at) => ledger.onItemStep(line, at, "withheld"),
  itemCancelled: (ledger, line, at) => ledger.onItemStep(line, at, "cancelled"),
  itemListed: (ledger, line, at) => ledger.onItemListed(line, at),
  fleetJoined: (ledger, line, at) => ledger.onStart(line, at),
  becameControlLeader: (ledger, line, at) => ledger.onLeader(line, at),
  lostControlLead: (ledger, line, at) => ledger.onLeader(line, at),
};

/**
 * Counts what was not served in time in the logs of all instances, by what lost
 * it. A call counts by its last refusal. An item counts if it is not listed as
 * completed when the results of its batch are due, and its caller has not ended
 * the batch before, by its last step until then.
 *
 * @example
 * ```ts
 * summarizeLosses(lines)[0]; // { kind: "batch", cause: "memory", count: 8 }
 * ```
 */
export function summarizeLosses(rawLines: readonly string[]): Loss[] {
  const ledger = new LossLedger();
  const lines = rawLines.map(parseLine)
    .filter((line) => line !== undefined)
    .map((line) => ({ line, at: Date.parse(String(line.time)) }))
    .sort((a, b) => a.at - b.at);
  for (const { line, at } of lines) {
    const event = eventOf(line);
    if (event !== undefined) HANDLERS[event]?.(ledger, line, at);
  }
  return ledger.summarize();
}

/** Follows calls, batches and items through the lines, in order of time. */
class LossLedger {
  readonly #calls = new Map<string, Call>();
  readonly #batches = new Map<string, Batch>();
  /** Reason of the last refusal of batches that are not accepted. */
  readonly #refused = new Map<string, string>();
  /** Starts of processes, by instance. */
  readonly #starts = new Map<string, number[]>();
  /** Leaders of the ledger, each from a time on; undefined for none. */
  readonly #leaders: LeaderChange[] = [];

  onCallStep(line: LogLine, at: number): void {
    const instance = String(line.instance);
    this.#calls.set(String(line.request), { at, instance, reason: undefined });
  }

  onCallAnswered({ request }: LogLine): void {
    this.#calls.delete(String(request));
  }

  onCallRefused({ request, instance, reason }: LogLine, at: number): void {
    this.#calls.set(String(request), {
      at,
      instance: String(instance),
      reason: String(reason),
    });
  }

  onBatchAccepted({ batch, items, objectiveMs }: LogLine, at: number): void {
    this.#refused.delete(String(batch));
    if (typeof objectiveMs !== "number") return;
    this.#batches.set(String(batch), {
      dueAt: at + objectiveMs,
      items: Number(items),
      endedAt: Infinity,
      served: 0,
      steps: new Map(),
    });
  }

  onBatchRefused({ batch, reason }: LogLine): void {
    if (this.#batches.has(String(batch))) return;
    this.#refused.set(String(batch), String(reason));
  }

  onBatchEnded({ batch }: LogLine, at: number): void {
    const known = this.#batches.get(String(batch));
    if (known !== undefined) known.endedAt = Math.min(known.endedAt, at);
  }

  onItemStep(line: LogLine, at: number, step: string): void {
    const batch = this.#batches.get(String(line.batch));
    if (batch === undefined || at > batch.dueAt) return;
    const { reason } = line;
    const detail = typeof reason === "string" ? `${step}: ${reason}` : step;
    batch.steps.set(String(line.item), detail);
  }

  onItemListed({ batch: id, item, state }: LogLine, at: number): void {
    const batch = this.#batches.get(String(id));
    if (batch === undefined || at > batch.dueAt) return;
    if (state === "completed") {
      batch.served += 1;
      batch.steps.delete(String(item));
    } else batch.steps.set(String(item), String(state));
  }

  onStart({ instance }: LogLine, at: number): void {
    const starts = this.#starts.get(String(instance)) ?? [];
    starts.push(at);
    this.#starts.set(String(instance), starts);
  }

  onLeader(line: LogLine, at: number): void {
    if (line.log !== LEDGER_LOG) return;
    const instance = String(line.instance);
    const hasLost = eventOf(line) === "lostControlLead";
    // A leader that was replaced may learn it later.
    if (hasLost && this.#leaders.at(-1)?.instance !== instance) return;
    this.#leaders.push({ at, instance: hasLost ? undefined : instance });
  }

  /** Gets the losses, the most frequent first. */
  summarize(): Loss[] {
    const counts = new Map<string, number>();
    const count = (kind: Loss["kind"], cause: string, by = 1) => {
      const key = `${kind} ${cause}`;
      if (by > 0) counts.set(key, (counts.get(key) ?? 0) + by);
    };
    for (const call of this.#calls.values()) {
      count("call", call.reason ?? this.#causeOfUnanswered(call));
    }
    for (const reason of this.#refused.values()) count("batch", reason);
    for (const batch of this.#batches.values()) {
      if (batch.endedAt <= batch.dueAt) continue;
      for (const step of batch.steps.values()) count("item", step);
      const unseen = batch.items - batch.served - batch.steps.size;
      count(
        "item",
        this.#isLedAt(batch.dueAt) ? NOT_STARTED : NO_LEADER,
        unseen,
      );
    }
    return [...counts]
      .map(([key, total]) => {
        const [kind, ...cause] = key.split(" ");
        return {
          kind: kind as Loss["kind"],
          cause: cause.join(" "),
          count: total,
        };
      })
      .sort((a, b) => b.count - a.count);
  }

  #causeOfUnanswered({ instance, at }: Call): string {
    const hasEnded = this.#starts.get(instance)?.some((start) => start > at);
    return hasEnded === true ? PROCESS_ENDED : UNANSWERED;
  }

  /** Gets whether the ledger had a leader; so it counts before the first line. */
  #isLedAt(at: number): boolean {
    const last = this.#leaders.findLast((change) => change.at <= at);
    return last === undefined || last.instance !== undefined;
  }
}
