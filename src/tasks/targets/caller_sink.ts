/** Passes a target's answer on to a caller. */
import type { ServerResponse } from "node:http";
import { createParser, type EventSourceParser } from "eventsource-parser";
import { completionChunkSchema, STREAM_END } from "../../protocol/mod.ts";
import type { StoredAnswer } from "../../core/ledger/mod.ts";
import type { AnswerHead, AnswerSink } from "./exchange.ts";

/** Headers of an answer that are passed on to the caller. */
const PASSED_HEADERS: readonly string[] = [
  "content-type",
  "content-encoding",
  "content-language",
  "etag",
  "location",
  "cache-control",
  "last-modified",
];
const EVENT_STREAM = "text/event-stream";
const STATUS_OK = 200;

/** Options of {@link CallerSink}. */
export interface CallerSinkOptions {
  /** Response to the caller. */
  readonly res: ServerResponse;
  /** Bytes of an answer that are held until it is whole. */
  readonly maxBytes: number;
  /** Whether event streams are held too, to be kept with the call. */
  readonly holdsAll?: boolean;
}

/**
 * Streams event streams and holds other answers until they are whole, so
 * that a broken one can be tried again and none is cut short unnoticed.
 */
export class CallerSink implements AnswerSink {
  readonly #res: ServerResponse;
  readonly #maxBytes: number;
  readonly #holdsAll: boolean;
  readonly #parts: Buffer[] = [];
  readonly #decoder = new TextDecoder();
  #parser: EventSourceParser | undefined;
  #head: AnswerHead | undefined;
  #heldBytes = 0;
  #tokens = 0;
  #reportedTokens: number | undefined;
  #isEnded = false;
  #isOverSize = false;

  /** Creates a sink. */
  constructor(options: CallerSinkOptions) {
    this.#res = options.res;
    this.#maxBytes = options.maxBytes;
    this.#holdsAll = options.holdsAll ?? false;
  }

  /** Gets whether a byte of the answer has gone to the caller. */
  get hasAnswered(): boolean {
    return this.#res.headersSent;
  }

  /** Gets the tokens generated, as reported or else counted by event. */
  get tokens(): number {
    return this.#reportedTokens ?? this.#tokens;
  }

  /** Gets whether an answer was longer than may be held. */
  get isOverSize(): boolean {
    return this.#isOverSize;
  }

  /** Takes the head of an answer. */
  onHead(head: AnswerHead): void {
    this.#head = head;
    const type = head.headers["content-type"] ?? "";
    if (head.status !== STATUS_OK || !type.startsWith(EVENT_STREAM)) return;
    this.#parser = createParser({ onEvent: ({ data }) => this.#onEvent(data) });
  }

  /** Takes a part of an answer. */
  async onData(chunk: Buffer): Promise<boolean> {
    if (this.#parser === undefined) {
      this.#hold(chunk);
      return true;
    }
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    if (!this.hasAnswered) {
      this.#hold(chunk);
      if (this.#tokens === 0) return false;
      if (this.#holdsAll) return true;
      this.#writeHead();
      await this.#write(Buffer.concat(this.#parts));
      this.#parts.length = 0;
      return true;
    }
    await this.#write(chunk);
    return true;
  }

  /** Gets whether the answer is whole. */
  isWhole(): boolean {
    if (this.#isOverSize) return false;
    if (this.#parser !== undefined) return this.#isEnded;
    return this.#head !== undefined;
  }

  /** Ends the response with what is still held. */
  end(): void {
    if (!this.hasAnswered) this.#writeHead();
    this.#res.end(Buffer.concat(this.#parts));
  }

  /** Gets the whole answer, to be kept for a caller that sends it again. */
  toStoredAnswer(): StoredAnswer {
    return {
      status: this.#head?.status ?? 0,
      contentType: this.#head?.headers["content-type"] ?? "",
      bodyBase64: Buffer.concat(this.#parts).toString("base64"),
    };
  }

  #hold(chunk: Buffer): void {
    this.#heldBytes += chunk.length;
    if (this.#heldBytes > this.#maxBytes) {
      this.#isOverSize = true;
      this.#parts.length = 0;
      return;
    }
    this.#parts.push(chunk);
  }

  #writeHead(): void {
    const headers: Record<string, string> = {};
    for (const name of PASSED_HEADERS) {
      const value = this.#head?.headers[name];
      if (value !== undefined) headers[name] = value;
    }
    if (this.#parser === undefined) {
      const length = this.#parts.reduce((sum, part) => sum + part.length, 0);
      headers["content-length"] = String(length);
    }
    this.#res.writeHead(this.#head?.status ?? STATUS_OK, headers);
  }

  async #write(chunk: Buffer): Promise<void> {
    if (this.#res.destroyed || this.#res.write(chunk)) return;
    await new Promise<void>((resolve) => {
      const done = () => {
        this.#res.off("drain", done);
        this.#res.off("close", done);
        resolve();
      };
      this.#res.once("drain", done);
      this.#res.once("close", done);
    });
  }

  #onEvent(data: string): void {
    if (data === STREAM_END) {
      this.#isEnded = true;
      return;
    }
    this.#tokens += 1;
    this.#reportedTokens = tokensOf(data) ?? this.#reportedTokens;
  }
}

function tokensOf(data: string): number | undefined {
  if (!data.includes("completion_tokens")) return undefined;
  try {
    const parsed = completionChunkSchema.safeParse(JSON.parse(data));
    return parsed.data?.usage?.completion_tokens ?? undefined;
  } catch {
    return undefined;
  }
}
