/** Forwards the response of a target to a caller. */
import type { ServerResponse } from "node:http";
import { completionChunkSchema, STREAM_END } from "../../protocol/mod.ts";
import type { StoredResponse } from "../../core/ledger/mod.ts";
import { type EventFrame, EventFramer } from "../../core/continuation/mod.ts";
import { drained } from "../drained.ts";
import { EventParser } from "../event_parser.ts";
import type { ResponseHead, ResponseSink } from "./exchange.ts";

/** Response headers that are forwarded to the caller. */
const FORWARDED_HEADERS: readonly string[] = [
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
  readonly res: ServerResponse;
  /** Maximum number of bytes buffered. */
  readonly maxBytes: number;
  /**
   * Whether event streams are buffered too, so that they can be stored under
   * the call's idempotency key.
   */
  readonly buffersStreams?: boolean;
}

/**
 * Forwards event streams as they arrive, and buffers other responses until they
 * are complete, so that a broken one can be retried and none is truncated
 * unnoticed.
 */
export class CallerSink implements ResponseSink {
  readonly #res: ServerResponse;
  readonly #maxBytes: number;
  readonly #buffersStreams: boolean;
  readonly #buffered: Buffer[] = [];
  readonly #decoder = new TextDecoder();
  /** Keeps what is not a complete event: a refusal may follow. */
  readonly #framer = new EventFramer();
  #parser: EventParser | undefined;
  #head: ResponseHead | undefined;
  #bufferedBytes = 0;
  #countedTokens = 0;
  #reportedTokens: number | undefined;
  #hasEndMarker = false;
  #isTooLarge = false;

  constructor(options: CallerSinkOptions) {
    this.#res = options.res;
    this.#maxBytes = options.maxBytes;
    this.#buffersStreams = options.buffersStreams ?? false;
  }

  /** Gets whether any part of the response has been sent to the caller. */
  get hasResponded(): boolean {
    return this.#res.headersSent;
  }

  /**
   * Gets the number of tokens as reported by the target, or else the number of
   * events.
   */
  get tokens(): number {
    return this.#reportedTokens ?? this.#countedTokens;
  }

  /** Gets whether the response exceeded the buffer limit. */
  get isTooLarge(): boolean {
    return this.#isTooLarge;
  }

  /** Records the head of a response. */
  onHead(head: ResponseHead): void {
    this.#head = head;
    const type = head.headers["content-type"] ?? "";
    if (head.status !== STATUS_OK || !type.startsWith(EVENT_STREAM)) return;
    this.#parser = new EventParser({
      onEvent: ({ data }) => this.#onEvent(data),
    });
  }

  /** Buffers or forwards a chunk, waiting for the caller if it reads slowly. */
  async onData(chunk: Buffer): Promise<boolean> {
    if (this.#parser === undefined) {
      this.#buffer(chunk);
      return true;
    }
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    if (this.#buffersStreams) this.#buffer(chunk);
    else await this.#passOn(this.#framer.push(chunk));
    return this.#countedTokens > 0;
  }

  /** Gets whether the response is complete. */
  isComplete(): boolean {
    if (this.#isTooLarge) return false;
    if (this.#parser !== undefined) return this.#hasEndMarker;
    return this.#head !== undefined;
  }

  /** Sends the buffered rest and ends the response. */
  end(): void {
    if (!this.hasResponded) this.#writeHead();
    this.#res.end(
      Buffer.concat([...this.#buffered, this.#framer.takeRemainder()]),
    );
  }

  /** Gets the response to store, for replay if the caller repeats the call. */
  toStoredResponse(): StoredResponse {
    return {
      status: this.#head?.status ?? 0,
      contentType: this.#head?.headers["content-type"] ?? "",
      bodyBase64: Buffer.concat(this.#buffered).toString("base64"),
    };
  }

  /** Passes on events, from the first one with a token on. */
  async #passOn(frames: readonly EventFrame[]): Promise<void> {
    const bytes = Buffer.concat(frames.map((frame) => frame.bytes));
    if (this.hasResponded) {
      await this.#write(bytes);
      return;
    }
    this.#buffer(bytes);
    if (this.#countedTokens === 0) return;
    this.#writeHead();
    const begun = Buffer.concat(this.#buffered);
    this.#buffered.length = 0;
    await this.#write(begun);
  }

  #buffer(chunk: Buffer): void {
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > this.#maxBytes) {
      this.#isTooLarge = true;
      this.#buffered.length = 0;
      return;
    }
    this.#buffered.push(chunk);
  }

  #writeHead(): void {
    const headers: Record<string, string> = {};
    for (const name of FORWARDED_HEADERS) {
      const value = this.#head?.headers[name];
      if (value !== undefined) headers[name] = value;
    }
    if (this.#parser === undefined) {
      const length = this.#buffered.reduce((sum, part) => sum + part.length, 0);
      headers["content-length"] = String(length);
    }
    this.#res.writeHead(this.#head?.status ?? STATUS_OK, headers);
  }

  async #write(chunk: Buffer): Promise<void> {
    if (chunk.length === 0) return;
    if (this.#res.destroyed || this.#res.write(chunk)) return;
    await drained(this.#res);
  }

  #onEvent(data: string): void {
    if (data === STREAM_END) {
      this.#hasEndMarker = true;
      return;
    }
    this.#countedTokens += 1;
    this.#reportedTokens = getReportedTokens(data) ?? this.#reportedTokens;
  }
}

function getReportedTokens(data: string): number | undefined {
  if (!data.includes("completion_tokens")) return undefined;
  try {
    const parsed = completionChunkSchema.safeParse(JSON.parse(data));
    return parsed.data?.usage?.completion_tokens ?? undefined;
  } catch {
    return undefined;
  }
}
