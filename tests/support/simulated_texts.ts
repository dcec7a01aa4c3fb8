/** Fetching of texts by a simulated replica that lacks them. */
import type { ReplicaId } from "../../src/core/consensus/mod.ts";
import type { Scheduler } from "../../sim/scheduler.ts";
import type { SizedCommand, SizedState } from "./simulated_replica.ts";

/** Asks another replica for texts, or answers with those that it has. */
export interface TextMessage {
  readonly type: "textsRequest" | "textsReply";
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  /** Number of the request, unique for its sender. */
  readonly request: number;
  readonly commands: readonly SizedCommand[];
}

/** Options of {@link SimulatedTexts}. */
export interface SimulatedTextsOptions {
  readonly scheduler: Scheduler;
  readonly id: ReplicaId;
  readonly state: () => SizedState;
  readonly isStopped: () => boolean;
  /** Gets the replicas to be asked, in order. */
  readonly sources: () => readonly ReplicaId[];
  readonly send: (message: TextMessage) => void;
  /** Called with commands whose texts have come. */
  readonly onTexts: (commands: readonly SizedCommand[]) => void;
}

/** Size of the texts of one request, in bytes. */
const REQUEST_BYTES = 262_144;
const MAX_REQUESTS = 4;
const TIMEOUT_MS = 2_000;

/** Fetches missing texts, the latest first, as a replica of the ledger does. */
export class SimulatedTexts {
  readonly #options: SimulatedTextsOptions;
  /** Commands of the requests without a reply, by number. */
  readonly #open = new Map<number, readonly SizedCommand[]>();
  readonly #tried = new Set<number>();
  /** Sources that are yet to be asked, by number of the request. */
  readonly #sourcesLeft = new Map<number, readonly ReplicaId[]>();
  #running = 0;
  #fetchCount = 0;
  #requestCount = 0;

  constructor(options: SimulatedTextsOptions) {
    this.#options = options;
  }

  /** Fetches what is missing, unless that is going on. */
  wake(): void {
    if (this.#running > 0) return;
    this.#tried.clear();
    while (this.#running < MAX_REQUESTS && this.#fetchNext());
  }

  /** Answers a request of another replica. */
  serve({ from, request, commands }: TextMessage): void {
    const { id, state, send } = this.#options;
    const { missing, commands: known } = state();
    const ids = new Set(known.map((command) => command.id));
    const found = commands
      .filter((command) => ids.has(command.id) && !missing.has(command.id));
    send({ type: "textsReply", from: id, to: from, request, commands: found });
  }

  /** Adds the texts of a reply; one that was not expected changes nothing. */
  onReply({ request, commands }: TextMessage): void {
    const wanted = this.#open.get(request);
    if (wanted === undefined) return;
    this.#open.delete(request);
    this.#options.onTexts(commands);
    const found = new Set(commands.map(({ id }) => id));
    this.#onAnswered(request, wanted.filter(({ id }) => !found.has(id)));
  }

  #onAnswered(request: number, left: readonly SizedCommand[]): void {
    const sources = this.#sourcesLeft.get(request) ?? [];
    this.#sourcesLeft.delete(request);
    if (left.length > 0 && sources.length > 0) {
      this.#request(left, sources);
      return;
    }
    this.#running -= 1;
    this.#fetchNext();
  }

  #fetchNext(): boolean {
    const wanted = this.#takeWanted();
    const sources = this.#options.sources();
    if (wanted.length === 0 || sources.length === 0) return false;
    const first = this.#fetchCount % sources.length;
    this.#fetchCount += 1;
    this.#running += 1;
    this.#request(wanted, [
      ...sources.slice(first),
      ...sources.slice(0, first),
    ]);
    return true;
  }

  #request(
    commands: readonly SizedCommand[],
    [to, ...others]: readonly ReplicaId[],
  ): void {
    const { id, scheduler, isStopped, send } = this.#options;
    this.#requestCount += 1;
    const request = this.#requestCount;
    this.#open.set(request, commands);
    this.#sourcesLeft.set(request, others);
    send({ type: "textsRequest", from: id, to, request, commands });
    scheduler.after(TIMEOUT_MS, () => {
      if (isStopped() || !this.#open.delete(request)) return;
      this.#onAnswered(request, commands);
    });
  }

  #takeWanted(): SizedCommand[] {
    const { commands, missing } = this.#options.state();
    const wanted: SizedCommand[] = [];
    let bytes = 0;
    for (let i = commands.length - 1; i >= 0; i -= 1) {
      const command = commands[i];
      if (!missing.has(command.id) || this.#tried.has(command.id)) continue;
      bytes += command.bytes;
      if (bytes > REQUEST_BYTES && wanted.length > 0) break;
      wanted.push(command);
    }
    for (const { id } of wanted) this.#tried.add(id);
    return wanted;
  }
}
