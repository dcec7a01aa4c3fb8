/** Keeps what leaders have learnt of targets, across changes of leader. */
import {
  type KnownPaces,
  type PaceClock,
  PaceRecipients,
  PaceStore,
} from "../../core/batches/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import type { FleetNode } from "../fleet/fleet_node.ts";
import { PeriodicTask } from "../fleet/periodic_task.ts";
import { BatchMethod } from "./batch_port.ts";
import { PaceFile } from "./pace_file.ts";
import { decodePaceMessage } from "./pace_format.ts";

/** Options of {@link PaceKeeper}. */
export interface PaceKeeperOptions {
  readonly node: Pick<FleetNode, "hub" | "linkedMembers" | "logger">;
  readonly dataFolder: string;
  /** Gets the term in which the local replica leads; undefined if it does not. */
  readonly leadsTerm: () => number | undefined;
  /** Gets what the local replica has learnt as leader. */
  readonly save: () => KnownPaces;
  /** Hands over what was read from the file while the local replica leads. */
  readonly load: (known: KnownPaces) => void;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Interval of the messages to the other ledger instances. */
const SEND_INTERVAL_MS = 2_000;
/** Minimum time between two writes of the file. */
const WRITE_INTERVAL_MS = 5_000;
/** Below the interval, so that an instance gets one message at a time. */
const SEND_TIMEOUT_MS = 1_500;

/**
 * Sends the leader's paces to the other ledger instances, and stores them. An
 * instance that cannot be reached, or a disk that is full or slow, delays
 * nothing else.
 */
export class PaceKeeper {
  readonly #options: PaceKeeperOptions;
  readonly #memory = new PaceStore();
  readonly #recipients = new PaceRecipients();
  readonly #file: PaceFile;
  readonly #writing: PeriodicTask;
  #sendTimer: NodeJS.Timeout | undefined;
  #writtenRevision = 0;
  #sentTerm: number | undefined;
  #isUnstored = false;

  /** Creates the keeper and registers its peer method. */
  constructor(options: PaceKeeperOptions) {
    this.#options = options;
    this.#file = new PaceFile(options.dataFolder);
    this.#writing = new PeriodicTask({
      intervalMs: WRITE_INTERVAL_MS,
      work: () => this.store(),
      onError: (err) => options.node.logger.error(err as Error),
    });
    options.node.hub.handle(
      BatchMethod.Paces,
      (params) => this.#onMessage(params),
    );
  }

  /** Gets all that is known and not too old, for a new leader. */
  takeOver(): KnownPaces {
    const known = this.#memory.changesSince(0, this.#clock);
    this.#options.node.logger.event("pacesTakenOver", {
      targets: known.targets.length,
      services: known.services.length,
    });
    return known;
  }

  /** Reads the file and starts sending and storing. */
  start(): void {
    this.#loadFile().catch((err) => this.#options.node.logger.error(err));
    this.#writing.start();
    this.#sendTimer ??= setInterval(() => this.send(), SEND_INTERVAL_MS);
  }

  /** Stops; what was learnt since the last write is dropped. */
  stop(): void {
    this.#writing.stop();
    clearInterval(this.#sendTimer);
    this.#sendTimer = undefined;
  }

  /** Sends noticeable changes to the other ledger instances, as leader. */
  send(): void {
    const { leadsTerm, save, node } = this.#options;
    const term = leadsTerm();
    if (term === undefined) return;
    if (term !== this.#sentTerm) this.#recipients.clear();
    this.#sentTerm = term;
    this.#memory.update({ term, ...save() }, this.#clock);
    const others = node.linkedMembers(FleetRole.Ledger);
    this.#recipients.keepOnly(new Set(others.map(({ id }) => id)));
    for (const { id } of others) this.#sendTo(id, term);
  }

  #sendTo(id: string, term: number): void {
    const { hub } = this.#options.node;
    const incarnation = hub.getPresence(id)?.incarnation ?? "";
    const { revision } = this.#memory;
    const since = this.#recipients
      .sinceOf({ id, incarnation }, revision, this.#clock.now);
    if (since === undefined) return;
    hub.request(id, BatchMethod.Paces, {
      params: { term, ...this.#memory.changesSince(since, this.#clock) },
      timeoutMs: SEND_TIMEOUT_MS,
    }).then((isAccepted) => isAccepted === true, () => false)
      .then((isAccepted) => {
        if (isAccepted) this.#recipients.onAcknowledged(id, revision);
        // The next message repeats the changes of a lost one. An instance of an
        // earlier build refuses each message.
        else this.#recipients.onFailed(id, this.#clock.now);
      });
  }

  /** Writes the file if something has changed noticeably. */
  async store(): Promise<void> {
    const { revision } = this.#memory;
    if (revision === this.#writtenRevision) return;
    try {
      await this.#file.write(this.#memory.save(this.#clock));
      this.#writtenRevision = revision;
      this.#isUnstored = false;
    } catch (err) {
      this.#logUnstored((err as Error).message);
    }
  }

  /** Logs the first of several failures in a row. */
  #logUnstored(reason: string): void {
    if (!this.#isUnstored) {
      this.#options.node.logger.event("pacesUnstored", { reason });
    }
    this.#isUnstored = true;
  }

  async #loadFile(): Promise<void> {
    const stored = await this.#file.read();
    if (stored === undefined) return;
    this.#memory.load(stored, this.#clock);
    const { leadsTerm, load } = this.#options;
    if (leadsTerm() !== undefined) load(this.takeOver());
  }

  #onMessage(params: unknown): boolean {
    const message = decodePaceMessage(params);
    return message !== undefined && this.#memory.merge(message, this.#clock);
  }

  get #clock(): PaceClock {
    return { now: this.#options.now(), wallNow: Date.now() };
  }
}
