/** Records in the control log which targets leave. */
import type { Departure, FleetCommand } from "../../core/fleet/mod.ts";
import { RefusalError, RefusalReason } from "../../core/verdict/mod.ts";

/** Options of {@link DepartureRecorder}. */
export interface DepartureRecorderOptions {
  /** Gets whether the applied state has a departure. */
  readonly isRecorded: (target: string, incarnation: number) => boolean;
  /**
   * Proposes a command.
   * @throws RefusalError if it is not committed in time; it may still be.
   */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  /** Gets the time, in milliseconds since the Unix epoch. */
  readonly wallNow: () => number;
  /** Called if the leader is of a build that keeps no departures. */
  readonly onUnsupported: () => void;
}

/** Departures that are told while an entry is on its way are in the next one. */
interface NextEntry {
  readonly departures: Departure[];
  readonly recorded: Promise<void>;
}

/** Records departures, several in one entry of the log. */
export class DepartureRecorder {
  readonly #options: DepartureRecorderOptions;
  #last: Promise<void> = Promise.resolve();
  #next: NextEntry | undefined;

  constructor(options: DepartureRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records that an incarnation of a target leaves; resolves once that outlives
   * the loss of all processes.
   * @throws RefusalError if it is not recorded in time; it may still be.
   * @example
   * await recorder.record("i-1", report.incarnation);
   */
  async record(target: string, incarnation: number): Promise<void> {
    const { isRecorded, wallNow } = this.#options;
    if (isRecorded(target, incarnation)) return;
    const departure = { target, incarnation, at: wallNow() };
    this.#next ??= this.#createNext();
    this.#next.departures.push(departure);
    await this.#next.recorded;
  }

  #createNext(): NextEntry {
    const departures: Departure[] = [];
    const recorded = this.#last.then(() => {
      this.#next = undefined;
      return this.#propose(departures);
    });
    this.#last = recorded.catch(() => {});
    return { departures, recorded };
  }

  async #propose(departures: readonly Departure[]): Promise<void> {
    try {
      await this.#options.propose({ type: "depart", departures });
    } catch (err) {
      if (!isUnsupported(err)) throw err;
      this.#options.onUnsupported();
    }
  }
}

/** Gets whether the leader does not know the command, as of an earlier build. */
function isUnsupported(err: unknown): boolean {
  return err instanceof RefusalError &&
    err.reason === RefusalReason.MalformedRequest;
}
