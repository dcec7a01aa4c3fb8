/** The search of an entry instance for who wrote the events of a stream. */
import { setTimeout as sleep } from "node:timers/promises";
import type { OutputWriter, StreamKey } from "../../core/continuation/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import { askForWriter, type WriterAnswer } from "./stream_question.ts";

/** Options of {@link WriterSearch}. */
export interface WriterSearchOptions {
  readonly hub: Pick<PeerHub, "request">;
  readonly key: StreamKey;
  /** Gets the control instances that can be asked now. */
  readonly controls: () => readonly string[];
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Longest time of the search, in milliseconds. */
  readonly timeoutMs: number;
}

/** Time after which an instance without a certain answer is asked again. */
const ASK_AGAIN_MS = 100;
/** Time between two looks for control instances that have just been linked. */
const POLL_MS = 25;

/**
 * Asks the linked control instances until one knows the stream, or all are
 * certain that none does, or the time is up. An instance that has just started
 * has few links or none; those that come up during the search are asked, too.
 *
 * @example
 * ```ts
 * const options = { hub, key, controls, now, timeoutMs: 1_000 };
 * const { writer, isCertain } = await new WriterSearch(options).run();
 * ```
 */
export class WriterSearch {
  readonly #options: WriterSearchOptions;
  readonly #certain = new Set<string>();
  /** Time from which an instance may be asked again; Infinity while it is. */
  readonly #askableAt = new Map<string, number>();
  #found: OutputWriter | undefined;
  #onAnswer: () => void = () => {};

  constructor(options: WriterSearchOptions) {
    this.#options = options;
  }

  /** Runs the search; an answer without a writer may be uncertain. */
  async run(): Promise<WriterAnswer> {
    const { now, timeoutMs } = this.#options;
    const endsAt = now() + timeoutMs;
    let leftMs = timeoutMs;
    while (this.#found === undefined && !this.#isCertain && leftMs > 0) {
      const answered = new Promise<void>((resolve) => {
        this.#onAnswer = resolve;
      });
      this.#askAll(leftMs);
      await Promise.race([answered, sleep(Math.min(leftMs, POLL_MS))]);
      leftMs = endsAt - now();
    }
    const writer = this.#found;
    return { writer, isCertain: writer !== undefined || this.#isCertain };
  }

  /** Gets whether all linked control instances are certain; false without any. */
  get #isCertain(): boolean {
    const controls = this.#options.controls();
    return controls.length > 0 && controls.every((id) => this.#certain.has(id));
  }

  /** Asks all instances that have neither a question open nor answered it. */
  #askAll(leftMs: number): void {
    const { controls, now } = this.#options;
    for (const instance of controls()) {
      const isDue = now() >= (this.#askableAt.get(instance) ?? -Infinity);
      if (isDue && !this.#certain.has(instance)) this.#ask(instance, leftMs);
    }
  }

  async #ask(instance: string, timeoutMs: number): Promise<void> {
    const { hub, key, now } = this.#options;
    this.#askableAt.set(instance, Infinity);
    const answer = await askForWriter(hub, { instance, key, timeoutMs });
    this.#found ??= answer.writer;
    if (answer.isCertain) this.#certain.add(instance);
    this.#askableAt.set(instance, now() + ASK_AGAIN_MS);
    this.#onAnswer();
  }
}
