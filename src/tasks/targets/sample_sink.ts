/** Collects the event stream of an engine into a sample. */
import type { CompletedSample } from "../../core/samples/mod.ts";
import { completionChunkSchema, STREAM_END } from "../../protocol/mod.ts";
import { EventParser } from "../event_parser.ts";
import type { ResponseHead, ResponseSink } from "./exchange.ts";

/** Options of {@link SampleSink}. */
export interface SampleSinkOptions {
  /** Index of the slot that the sample fills. */
  readonly slot: number;
  /** Target that generates the sample. */
  readonly targetId: string;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Maximum length of the text, in UTF-16 code units. */
  readonly maxTextLength: number;
}

/**
 * Accumulates the text and weight versions of a stream. A stream that ends
 * without its end marker, continues after it, or holds an unreadable or error
 * chunk is not complete.
 */
export class SampleSink implements ResponseSink {
  readonly #options: SampleSinkOptions;
  readonly #parser: EventParser;
  readonly #decoder = new TextDecoder();
  readonly #versions = new Set<number>();
  #status = 0;
  #text = "";
  #finishReason: string | undefined;
  #countedTokens = 0;
  #reportedTokens: number | undefined;
  #firstTokenAt: number | undefined;
  #isVersionMissing = false;
  #hasEndMarker = false;
  #isInvalid = false;

  constructor(options: SampleSinkOptions) {
    this.#options = options;
    this.#parser = new EventParser({
      onEvent: ({ data }) => this.#onEvent(data),
    });
  }

  /** Records the response status. */
  onHead(head: ResponseHead): void {
    this.#status = head.status;
  }

  /**
   * Parses a chunk of the stream.
   * @returns Whether the first token has been received.
   */
  onData(chunk: Buffer): boolean {
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    return this.#firstTokenAt !== undefined;
  }

  /** Gets whether the stream is valid and has reached its end marker. */
  isComplete(): boolean {
    return this.#status === 200 && this.#hasEndMarker && !this.#isInvalid &&
      this.#finishReason !== undefined;
  }

  /** Gets the HTTP status; 0 before the response head. */
  get status(): number {
    return this.#status;
  }

  /** Creates the sample; its versions are empty if any chunk had no version. */
  toSample(): CompletedSample {
    return {
      slot: this.#options.slot,
      text: this.#text,
      finishReason: this.#finishReason ?? "",
      tokens: this.#reportedTokens ?? this.#countedTokens,
      versions: this.#isVersionMissing
        ? []
        : [...this.#versions].sort((a, b) => a - b),
      firstTokenAt: this.#firstTokenAt ?? this.#options.now(),
      targetId: this.#options.targetId,
    };
  }

  #onEvent(data: string): void {
    if (data === STREAM_END) {
      this.#hasEndMarker = true;
      return;
    }
    const chunk = parseChunk(data);
    if (
      chunk === undefined || chunk.error !== undefined || this.#hasEndMarker
    ) {
      this.#isInvalid = true;
      return;
    }
    const [choice] = chunk.choices;
    const content = choice?.delta?.content ?? choice?.text ?? "";
    if (content !== "") this.#addContent(content, chunk.weight_version);
    this.#finishReason = choice?.finish_reason ?? this.#finishReason;
    this.#reportedTokens = chunk.usage?.completion_tokens ??
      this.#reportedTokens;
  }

  #addContent(content: string, version: number | null | undefined): void {
    this.#firstTokenAt ??= this.#options.now();
    this.#text += content;
    this.#countedTokens += 1;
    if (this.#text.length > this.#options.maxTextLength) this.#isInvalid = true;
    if (version === null || version === undefined) {
      this.#isVersionMissing = true;
    } else this.#versions.add(version);
  }
}

function parseChunk(data: string) {
  try {
    const parsed = completionChunkSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
