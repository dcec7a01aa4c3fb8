/** The response of a stream that goes on at other targets. */
import type { HeaderList } from "../../core/calls/mod.ts";
import {
  type EventFrame,
  EventFramer,
  hasField,
} from "../../core/continuation/mod.ts";
import { NutmegreelError } from "../../core/errors/mod.ts";
import type { ResponseStream } from "./target_port.ts";

/** Options of {@link ResumableStream}. */
export interface ResumableStreamOptions {
  /** Receives the response of the caller. */
  readonly sink: ResponseStream;
  /** Number of the last event that the caller brings; undefined if none. */
  readonly after: number | undefined;
  /** Called before the first event is passed on, which waits for it. */
  readonly onFirstEvent: () => Promise<void>;
  /** Called with the first events of each target. */
  readonly onProgress?: () => void;
}

const EVENT_STREAM = "text/event-stream";

/** What all heads of one response have in common. */
interface StreamKind {
  readonly status: number;
  /** Media type, without parameters; undefined if none is named. */
  readonly type: string | undefined;
}

/** Thrown if a target does not go on where the last one ended. */
export class StreamMismatchError extends NutmegreelError {
  constructor(message: string) {
    super("streamMismatch", message);
  }
}

/**
 * Passes on whole events only, with the head of the first target, so that
 * another target can go on after any of them.
 */
export class ResumableStream implements ResponseStream {
  readonly #options: ResumableStreamOptions;
  readonly #framer = new EventFramer();
  #lastEventId: number | undefined;
  /** Kind of the first head; undefined before that. */
  #kind: StreamKind | undefined;
  #hasEvents = false;
  /** Whether the target of the attempt must still send the next event. */
  #isNextDue = false;
  /** Whether the target of the attempt has sent an event. */
  #hasProgressed = false;
  /** Events that wait until the first one may be passed on. */
  #held: EventFrame[] | undefined;
  #released: Promise<void> = Promise.resolve();

  constructor(options: ResumableStreamOptions) {
    this.#options = options;
    this.#lastEventId = options.after;
  }

  /** Gets whether any part of the response has been passed on. */
  get hasHead(): boolean {
    return this.#kind !== undefined;
  }

  /** Gets whether any event of this response has been passed on. */
  get hasEvents(): boolean {
    return this.#hasEvents;
  }

  /**
   * Gets the number of the last event that the caller holds; undefined if there
   * is none, or it has no number.
   */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Drops what the last target sent of an event that it did not complete. */
  beginAttempt(): this {
    this.#framer.takeRemainder();
    this.#held = undefined;
    this.#hasProgressed = false;
    this.#isNextDue = this.#hasEvents && this.#lastEventId !== undefined;
    return this;
  }

  /**
   * Passes on the head of the first target.
   * @throws StreamMismatchError if a later target does not go on.
   */
  onHead(status: number, headers: HeaderList): void {
    const kind = { status, type: mediaTypeOf(headers) };
    if (this.#kind === undefined) {
      this.#kind = kind;
      this.#options.sink.onHead(status, headers);
      return;
    }
    if (status === this.#kind.status && kind.type === this.#kind.type) return;
    throw new StreamMismatchError(
      `Status ${status}, type ${kind.type} where a stream goes on`,
    );
  }

  /**
   * Passes on the events that a chunk completes.
   * @throws StreamMismatchError if an event does not follow the last one.
   */
  onData(chunk: Uint8Array): boolean {
    const frames = this.#framer.push(chunk);
    if (frames.length > 0) this.#onFrames();
    if (this.#held !== undefined) {
      for (const frame of frames) this.#held.push(frame);
      return false;
    }
    if (frames.length === 0) return true;
    if (this.#hasEvents) return this.#passOn(frames);
    this.#hold(frames);
    return false;
  }

  /** Waits until the first event may be passed on, and the caller takes more. */
  async drained(): Promise<void> {
    await this.#released;
    const held = this.#held;
    this.#held = undefined;
    if (held === undefined || this.#passOn(held)) return;
    await this.#options.sink.drained();
  }

  /** Gets whether a target that sends no more has not completed an event. */
  get isCutInEvent(): boolean {
    const hasNumbers = this.#hasEvents && this.#lastEventId !== undefined;
    return (hasNumbers || this.#kind?.type === EVENT_STREAM) &&
      this.#framer.isInEvent;
  }

  /** Passes on what a target sent after its last event, as it is complete. */
  end(): void {
    const rest = this.#framer.takeRemainder();
    if (rest.length > 0) this.#options.sink.onData(rest);
  }

  #onFrames(): void {
    if (this.#hasProgressed) return;
    this.#hasProgressed = true;
    this.#options.onProgress?.();
  }

  #hold(frames: EventFrame[]): void {
    this.#held = frames;
    this.#released = this.#options.onFirstEvent();
  }

  /** Passes on events at once: each part costs the sink more than its bytes. */
  #passOn(frames: readonly EventFrame[]): boolean {
    this.#hasEvents = true;
    const passed: Uint8Array[] = [];
    try {
      for (const { bytes, id } of frames) {
        if (id !== undefined) this.#advanceTo(id);
        else this.#throwIfDue(bytes);
        passed.push(bytes);
      }
    } catch (err) {
      this.#write(passed);
      throw err;
    }
    return this.#write(passed);
  }

  #write(parts: readonly Uint8Array[]): boolean {
    if (parts.length === 0) return true;
    return this.#options.sink.onData(Buffer.concat(parts));
  }

  #advanceTo(id: number): void {
    const last = this.#lastEventId;
    if (last !== undefined && id !== last + 1) {
      throw new StreamMismatchError(`Event ${id} after event ${last}`);
    }
    this.#lastEventId = id;
    this.#isNextDue = false;
  }

  /** Refuses an event without a number in place of the next one. */
  #throwIfDue(bytes: Uint8Array): void {
    if (!this.#isNextDue || !hasField(bytes)) return;
    throw new StreamMismatchError(
      `Event without a number after event ${this.#lastEventId}`,
    );
  }
}

function mediaTypeOf(headers: HeaderList): string | undefined {
  const value = headers.find(([name]) => name.toLowerCase() === "content-type")
    ?.[1];
  return value?.split(";")[0].trim().toLowerCase();
}
