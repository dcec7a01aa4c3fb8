/** Promises that a fleet must keep, from what callers and targets see. */
import { textOf } from "../../fakes/fleet_text.ts";
import type { FleetReceiver } from "../../fakes/fleet_receiver.ts";
import type { FleetReplica, ReplicaRun } from "../../fakes/fleet_replica.ts";
import type {
  BatchPlan,
  ReadResult,
} from "../../tests/support/fleet_trainer.ts";

/** Represents a promise that was broken. */
export class BrokenPromiseError extends Error {
  /** Creates the error. */
  constructor(promise: string, detail: string) {
    super(`${promise}: ${detail}`);
    this.name = "BrokenPromiseError";
  }
}

/** Remembers what was seen, and asserts what must hold. */
export class FleetChecks {
  readonly #replicas: readonly FleetReplica[];
  readonly #listed = new Map<string, string[]>();
  readonly #refused = new Set<string>();
  #highestAcked = 0;

  /** Creates the checks of a fleet. */
  constructor(replicas: readonly FleetReplica[]) {
    this.#replicas = replicas;
  }

  /** Checks a result at its position. */
  onResult(plan: BatchPlan, result: ReadResult, position: number): void {
    const known = this.#listed.get(plan.id) ?? [];
    this.#listed.set(plan.id, known);
    const whole = JSON.stringify(result);
    if (known[position] !== undefined && known[position] !== whole) {
      throw new BrokenPromiseError("results keep their places", plan.id);
    }
    const isNew = known[position] === undefined;
    if (isNew && known.some((r) => JSON.parse(r).id === result.id)) {
      throw new BrokenPromiseError("each item is listed once", result.id);
    }
    known[position] = whole;
    if (!plan.items.includes(result.id)) {
      throw new BrokenPromiseError("only own items are listed", result.id);
    }
    if (result.state !== "completed") {
      throw new BrokenPromiseError("no item is given up early", result.id);
    }
    if (result.text !== textOf(result.id)) {
      throw new BrokenPromiseError("texts are whole", result.id);
    }
    this.#checkVersions(plan, result);
  }

  /** Records an answer to a call that may not be repeated. */
  onCall(id: string, answer: { status: number; text: string }): void {
    const isRefusal = answer.status === 503 || answer.status === 429;
    if (isRefusal) this.#refused.add(id);
    if (answer.status === 200 && answer.text !== `answer to ${id}`) {
      throw new BrokenPromiseError("answers belong to their calls", id);
    }
  }

  /** Records that a policy was acknowledged. */
  onAcked(revision: number): void {
    this.#highestAcked = Math.max(this.#highestAcked, revision);
  }

  /** Checks a policy that was read after the question was sent. */
  onPolicy(revision: number, ackedBefore: number): void {
    if (revision >= ackedBefore) return;
    throw new BrokenPromiseError(
      "policies never go back",
      `${revision} after ${ackedBefore}`,
    );
  }

  /** Gets the highest revision that was acknowledged. */
  get highestAcked(): number {
    return this.#highestAcked;
  }

  /** Checks what targets and receiver have seen in the whole run. */
  checkAll(receiver: FleetReceiver): void {
    this.#checkOnce();
    this.#checkUsage(receiver);
    this.#checkHolders(receiver);
  }

  #checkVersions(plan: BatchPlan, result: ReadResult): void {
    const made = new Set<number>();
    for (const run of this.#runsOf(result.id)) {
      for (const version of run.versions) made.add(version);
    }
    const isTrue = result.versions.length > 0 &&
      result.versions.every((version) => made.has(version));
    if (!isTrue) {
      throw new BrokenPromiseError("versions are true", result.id);
    }
    if (Math.min(...result.versions) < plan.minVersion) {
      throw new BrokenPromiseError("samples are fresh enough", result.id);
    }
  }

  #runsOf(request: string): ReplicaRun[] {
    return this.#replicas
      .flatMap((replica) => replica.runs)
      .filter((run) => run.request === request);
  }

  #checkOnce(): void {
    const counts = new Map<string, number>();
    for (const { request } of this.#replicas.flatMap((r) => r.runs)) {
      counts.set(request, (counts.get(request) ?? 0) + 1);
    }
    for (const [request, count] of counts) {
      if (!request.startsWith("once")) continue;
      if (count > 1) throw new BrokenPromiseError("once at most", request);
      if (this.#refused.has(request)) {
        throw new BrokenPromiseError("refused means not run", request);
      }
    }
  }

  #checkUsage(receiver: FleetReceiver): void {
    const figures = new Map<unknown, string>();
    for (const { path, body } of receiver.accepted) {
      if (path !== "/usage") continue;
      const counts = JSON.stringify(body.counts);
      const known = figures.get(body.windowId);
      if (known !== undefined && known !== counts) {
        throw new BrokenPromiseError(
          "a window has one figure",
          String(body.windowId),
        );
      }
      figures.set(body.windowId, counts);
    }
  }

  /** One fencing token belongs to one holder. */
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
      const known = holders.get(key);
      if (known !== undefined && known !== holder) {
        throw new BrokenPromiseError("one holder a token", key);
      }
      holders.set(key, holder);
    }
  }
}
