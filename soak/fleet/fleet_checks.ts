/** Invariants of a fleet, checked on what callers and targets observe. */
import { InvariantViolationError } from "./invariant_violation_error.ts";
import { EndedBatches } from "./ended_batches.ts";
import { eventDataOf, outputOf, softwareOf } from "../../fakes/fleet_text.ts";
import type { FleetReceiver } from "../../fakes/fleet_receiver.ts";
import type { FleetReplica, ReplicaRun } from "../../fakes/fleet_replica.ts";
import { ORDER_LEASE_MS } from "../../tests/support/fleet_deployment.ts";
import type { HeldStream } from "../../tests/support/stream_caller.ts";
import {
  type BatchPlan,
  type ReadResult,
  scoringIdOf,
} from "../../tests/support/fleet_trainer.ts";

/** An order or report, as received. */
interface ReceivedOrder {
  readonly holder: string;
  readonly fence: number;
  /** Time of receipt, in milliseconds since the epoch. */
  readonly at: number;
}

/** Number of resume attempts from which their rate is checked. */
const MIN_RESUME_ATTEMPTS = 12;

/** Records observations of a run and checks the invariants on them. */
export class FleetChecks {
  readonly #replicas: readonly FleetReplica[];
  readonly #resultsByBatch = new Map<string, string[]>();
  readonly #refusedCalls = new Set<string>();
  #highestAcked = 0;
  /** Batches that their callers have ended early. */
  readonly endedBatches: EndedBatches;

  /** Creates checks that read the runs and orders of the given targets. */
  constructor(replicas: readonly FleetReplica[]) {
    this.#replicas = replicas;
    this.endedBatches = new EndedBatches(replicas);
  }

  /**
   * Checks a result at its index in the list of a batch.
   * @throws {InvariantViolationError}
   */
  onResult(plan: BatchPlan, result: ReadResult, index: number): void {
    const results = this.#resultsByBatch.get(plan.id) ?? [];
    this.#resultsByBatch.set(plan.id, results);
    const text = JSON.stringify(result);
    if (results[index] !== undefined && results[index] !== text) {
      throw new InvariantViolationError(
        "a listed result never changes",
        plan.id,
      );
    }
    const isNew = results[index] === undefined;
    if (isNew && results.some((r) => JSON.parse(r).id === result.id)) {
      throw new InvariantViolationError("each item is listed once", result.id);
    }
    results[index] = text;
    if (!plan.items.includes(result.id)) {
      throw new InvariantViolationError(
        "only items of the batch are listed",
        result.id,
      );
    }
    if (result.state !== "completed") {
      throw new InvariantViolationError("every item is completed", result.id);
    }
    const [software] = softwareOf(result.text);
    if (result.text !== outputOf(result.id, software)) {
      throw new InvariantViolationError(
        "texts are complete and of one software version",
        `${result.id}: ${result.text}`,
      );
    }
    this.#checkVersions(plan, result);
    this.#checkScore(plan, result);
  }

  /**
   * Checks the response to a plain call, and records a refusal.
   * @throws {InvariantViolationError}
   */
  onCall(id: string, response: { status: number; text: string }): void {
    const isRefusal = response.status === 503 || response.status === 429;
    if (isRefusal) this.#refusedCalls.add(id);
    if (response.status === 200 && response.text !== `answer to ${id}`) {
      throw new InvariantViolationError("a response belongs to its call", id);
    }
  }

  /**
   * Checks the events that a caller of a stream holds, over all its requests.
   * @throws {InvariantViolationError}
   */
  onStream({ first, events }: HeldStream): void {
    const [software] = softwareOf(events.join("\n"));
    const isWhole = events.every((data, i) =>
      data === eventDataOf(first ?? "", i + 1, software)
    );
    if (isWhole) return;
    throw new InvariantViolationError(
      "events of a stream are in order and of one software version",
      `${first}: ${events.join(" ")}`,
    );
  }

  /**
   * Checks that streams are resumed at half the rate of new ones or better.
   * @throws {InvariantViolationError}
   */
  checkResumptions(
    { asked, begun, resumeAttempts, resumed }: {
      readonly asked: number;
      readonly begun: number;
      readonly resumeAttempts: number;
      readonly resumed: number;
    },
  ): void {
    if (resumeAttempts < MIN_RESUME_ATTEMPTS) return;
    if (resumed / resumeAttempts >= begun / asked / 2) return;
    throw new InvariantViolationError(
      "streams are resumed at half the rate of new ones",
      `${resumed} of ${resumeAttempts}, ${begun} of ${asked} begun`,
    );
  }

  /** Records that a revision of the policy was acknowledged. */
  onAcked(revision: number): void {
    this.#highestAcked = Math.max(this.#highestAcked, revision);
  }

  /**
   * Checks the revision of a policy that was read.
   * @param ackedBefore - Highest revision acknowledged before the request.
   * @throws {InvariantViolationError}
   */
  onPolicy(revision: number, ackedBefore: number): void {
    if (revision >= ackedBefore) return;
    throw new InvariantViolationError(
      "a read returns the last acknowledged policy or a newer one",
      `${revision} after ${ackedBefore}`,
    );
  }

  /** Gets the highest acknowledged revision of the policy. */
  get highestAcked(): number {
    return this.#highestAcked;
  }

  /**
   * Checks, at the end of a run, what the targets and the receiver recorded.
   * @throws {InvariantViolationError}
   */
  checkAll(receiver: FleetReceiver): void {
    this.#checkNonIdempotentCalls();
    this.#checkUsage(receiver);
    this.#checkHolders(receiver);
    this.endedBatches.check();
  }

  /**
   * Checks what recipients that do not check fencing tokens have received: no
   * token decreases, and no holder returns within the order lease.
   * @throws {InvariantViolationError}
   */
  checkTurns(receiver: FleetReceiver): void {
    const bySubject = new Map<string, ReceivedOrder[]>();
    const calls = [
      ...receiver.accepted,
      ...this.#replicas.flatMap(({ orders }) =>
        orders.map((order) => ({ ...order, subject: order.target }))
      ),
    ];
    for (const call of calls) {
      const orders = bySubject.get(call.subject) ?? [];
      bySubject.set(call.subject, [...orders, call]);
    }
    for (const [subject, orders] of bySubject) checkOrders(subject, orders);
  }

  /** Checks that a score is of a run that began after the complete output. */
  #checkScore({ scoringPrefix }: BatchPlan, { id, score }: ReadResult): void {
    const call = scoringIdOf(id);
    const scorer = this.#runsOf(call)
      .find(({ target }) => score === `${target}.${call}`);
    if (scoringPrefix === undefined && score === undefined) return;
    const completedAt = Math.min(
      ...this.#runsOf(id).map((run) => run.completedAt ?? Infinity),
    );
    if (scorer !== undefined && scorer.startedAt >= completedAt) return;
    throw new InvariantViolationError(
      "a score is of a call that was sent after the complete output",
      id,
    );
  }

  #checkVersions(plan: BatchPlan, result: ReadResult): void {
    const usedVersions = new Set<number>();
    for (const run of this.#runsOf(result.id)) {
      for (const version of run.versions) usedVersions.add(version);
    }
    const areUsed = result.versions.length > 0 &&
      result.versions.every((version) => usedVersions.has(version));
    if (!areUsed) {
      throw new InvariantViolationError(
        "reported versions have generated the text",
        result.id,
      );
    }
    if (Math.min(...result.versions) < plan.minVersion) {
      throw new InvariantViolationError(
        "versions are not below the minimum of the batch",
        result.id,
      );
    }
  }

  #runsOf(request: string): ReplicaRun[] {
    return this.#replicas
      .flatMap((replica) => replica.runs)
      .filter((run) => run.request === request);
  }

  #checkNonIdempotentCalls(): void {
    const counts = new Map<string, number>();
    for (const { request } of this.#replicas.flatMap((r) => r.runs)) {
      counts.set(request, (counts.get(request) ?? 0) + 1);
    }
    for (const [request, count] of counts) {
      if (!request.startsWith("once")) continue;
      if (count > 1) {
        throw new InvariantViolationError(
          "a non-idempotent call runs at most once",
          request,
        );
      }
      if (this.#refusedCalls.has(request)) {
        throw new InvariantViolationError(
          "a refused call has not run",
          request,
        );
      }
    }
  }

  #checkUsage(receiver: FleetReceiver): void {
    const countsByWindow = new Map<unknown, string>();
    for (const { path, body } of receiver.accepted) {
      if (path !== "/usage") continue;
      const counts = JSON.stringify(body.counts);
      const existing = countsByWindow.get(body.windowId);
      if (existing !== undefined && existing !== counts) {
        throw new InvariantViolationError(
          "all reports of a usage window have equal counts",
          String(body.windowId),
        );
      }
      countsByWindow.set(body.windowId, counts);
    }
  }

  /** Checks that each fencing token belongs to a single holder. */
  #checkHolders(receiver: FleetReceiver): void {
    const holders = new Map<string, string>();
    const calls = [
      ...receiver.accepted.map(({ subject, fence, holder }) => ({
        subject,
        fence,
        holder,
      })),
      ...this.#replicas.flatMap((replica) =>
        replica.orders.map(({ fence, holder }) => ({
          subject: "orders",
          fence,
          holder,
        }))
      ),
    ];
    for (const { subject, fence, holder } of calls) {
      const key = `${subject} ${fence}`;
      const existing = holders.get(key);
      if (existing !== undefined && existing !== holder) {
        throw new InvariantViolationError(
          "a fencing token has a single holder",
          key,
        );
      }
      holders.set(key, holder);
    }
  }
}

function checkOrders(subject: string, orders: readonly ReceivedOrder[]): void {
  const lastAt = new Map<string, number>();
  orders.forEach(({ holder, fence, at }, i) => {
    const previous = orders[i - 1];
    if (previous !== undefined && fence < previous.fence) {
      throw new InvariantViolationError("no fencing token falls", subject);
    }
    const isTurn = previous !== undefined && previous.holder !== holder;
    if (isTurn && at - (lastAt.get(holder) ?? -Infinity) < ORDER_LEASE_MS) {
      throw new InvariantViolationError(
        "no holder returns within the order lease",
        subject,
      );
    }
    lastAt.set(holder, at);
  });
}
