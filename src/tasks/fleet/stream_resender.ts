/** Streams that control instances have missed. */
import type {
  StreamDirectory,
  StreamKey,
  StreamRecord,
} from "../../core/continuation/mod.ts";

/** A process of a control instance that is linked. */
export interface LinkedControl {
  readonly id: string;
  /** A new value at each start. */
  readonly incarnation: string;
}

/** Options of {@link StreamResender}. */
export interface StreamResenderOptions {
  /** Streams of this instance's own callers. */
  readonly streams: StreamDirectory;
  /** Gets the control instances that are linked now. */
  readonly controls: () => readonly LinkedControl[];
  /** Sends streams to a control instance; rejects if it may not have them. */
  readonly send: (id: string, records: StreamRecord[]) => Promise<void>;
}

/** What a control instance is not known to have. */
interface ControlState {
  readonly incarnation: string;
  readonly missing: Set<StreamKey>;
  failures: number;
  isSending: boolean;
}

const RESEND_INTERVAL_MS = 500;
/** Maximum number of streams in one message. */
const MAX_BATCH = 500;
/**
 * Failures in a row after which the streams that a process has missed so far are
 * dropped: one of an earlier build does not know the message.
 */
const MAX_FAILURES = 6;

/**
 * Sends streams again to control instances that did not acknowledge them, and
 * all streams to those that are new or linked again, so that a stream outlives
 * the loss of all control instances that had it.
 */
export class StreamResender {
  readonly #options: StreamResenderOptions;
  readonly #states = new Map<string, ControlState>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StreamResenderOptions) {
    this.#options = options;
  }

  /**
   * Notes which control instances are linked, before a stream is added.
   * @returns Those to which the stream is sent.
   */
  observe(): readonly LinkedControl[] {
    const { controls, streams } = this.#options;
    const linked = controls();
    const linkedIds = new Set(linked.map(({ id }) => id));
    for (const id of [...this.#states.keys()]) {
      if (!linkedIds.has(id)) this.#states.delete(id);
    }
    for (const { id, incarnation } of linked) {
      if (this.#states.get(id)?.incarnation === incarnation) continue;
      this.#states.set(id, {
        incarnation,
        missing: new Set(streams.keys),
        failures: 0,
        isSending: false,
      });
    }
    this.#timer ??= setInterval(() => this.resend(), RESEND_INTERVAL_MS)
      .unref();
    return linked;
  }

  /** Records that a control instance did not acknowledge a stream. */
  onMissed(
    { id, incarnation }: LinkedControl,
    { workspace, request }: StreamKey,
  ): void {
    const state = this.#states.get(id);
    if (state?.incarnation !== incarnation) return;
    state.missing.add({ workspace, request });
  }

  /** Sends each control instance a part of what it has missed. */
  resend(): void {
    this.observe();
    for (const [id, state] of this.#states) {
      if (!state.isSending && state.missing.size > 0) this.#send(id, state);
    }
    if (!this.#options.streams.isEmpty) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  async #send(id: string, state: ControlState): Promise<void> {
    const { streams, send } = this.#options;
    const keys = [...state.missing].slice(0, MAX_BATCH);
    const records = keys.map((key) => streams.getRecord(key))
      .filter((record) => record !== undefined);
    state.isSending = true;
    try {
      if (records.length > 0) await send(id, records);
      for (const key of keys) state.missing.delete(key);
      state.failures = 0;
    } catch {
      state.failures += 1;
      if (state.failures >= MAX_FAILURES) state.missing.clear();
    } finally {
      state.isSending = false;
    }
  }
}
