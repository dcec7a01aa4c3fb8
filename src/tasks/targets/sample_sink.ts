/** Collects an engine's stream into a sample. */
import { createParser, type EventSourceParser } from "eventsource-parser";
import type { MadeSample } from "../../core/samples/mod.ts";
import { completionChunkSchema, STREAM_END } from "../../protocol/mod.ts";
import type { AnswerHead, AnswerSink } from "./exchange.ts";

/** Options of {@link SampleSink}. */
export interface SampleSinkOptions {
  /** Slot that the sample fills. */
  readonly slot: number;
  /** Target that makes it. */
  readonly targetId: string;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
  /** Bytes of text allowed. */
  readonly maxBytes: number;
}

/** Keeps text and versions of a stream, chunk by chunk. */
export class SampleSink implements AnswerSink {
  readonly #options: SampleSinkOptions;
  readonly #parser: EventSourceParser;
  readonly #decoder = new TextDecoder();
  readonly #versions = new Set<number>();
  #status = 0;
  #text = "";
  #finishReason: string | undefined;
  #tokens = 0;
  #reportedTokens: number | undefined;
  #firstTokenAt: number | undefined;
  #isUnversioned = false;
  #isEnded = false;
  #isFaulty = false;

  /** Creates an empty sink. */
  constructor(options: SampleSinkOptions) {
    this.#options = options;
    this.#parser = createParser({ onEvent: ({ data }) => this.#onEvent(data) });
  }

  /** Takes the head of the answer. */
  onHead(head: AnswerHead): void {
    this.#status = head.status;
  }

  /** Takes a part of the stream. */
  onData(chunk: Buffer): boolean {
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    return this.#firstTokenAt !== undefined;
  }

  /** Gets whether the stream has come to its stated end. */
  isWhole(): boolean {
    return this.#status === 200 && this.#isEnded && !this.#isFaulty &&
      this.#finishReason !== undefined;
  }

  /** Gets the status of the answer; 0 before its head. */
  get status(): number {
    return this.#status;
  }

  /** Gets the sample; its versions are empty where one was not reported. */
  toSample(): MadeSample {
    return {
      slot: this.#options.slot,
      text: this.#text,
      finishReason: this.#finishReason ?? "",
      tokens: this.#reportedTokens ?? this.#tokens,
      versions: this.#isUnversioned
        ? []
        : [...this.#versions].sort((a, b) => a - b),
      firstTokenAt: this.#firstTokenAt ?? this.#options.now(),
      targetId: this.#options.targetId,
    };
  }

  #onEvent(data: string): void {
    if (data === STREAM_END) {
      this.#isEnded = true;
      return;
    }
    const chunk = parseChunk(data);
    if (chunk === undefined || chunk.error !== undefined || this.#isEnded) {
      this.#isFaulty = true;
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
    this.#tokens += 1;
    if (this.#text.length > this.#options.maxBytes) this.#isFaulty = true;
    if (version === null || version === undefined) this.#isUnversioned = true;
    else this.#versions.add(version);
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
