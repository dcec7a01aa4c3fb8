/** Caller of streams that takes them up again after a broken connection. */
import { createParser } from "eventsource-parser";
import { Client, type Dispatcher } from "undici";
import { eventCountOf, softwareOf } from "../../fakes/fleet_text.ts";
import { sleep } from "./fleet_deployment.ts";

/** Options of {@link StreamCaller}. */
export interface StreamCallerOptions {
  /** Gets the addresses of the entry instances, used in turn. */
  readonly entries: () => readonly string[];
  readonly host: string;
  readonly key: string;
  /** Path prefix of the route for streams. */
  readonly prefix: string;
  readonly model: string;
  /**
   * Gets whether enough targets of a software version serve, so that a retake
   * counts; all do by default.
   */
  readonly isServed?: (software: string) => boolean;
}

/** What a caller holds of a stream. */
export interface HeldStream {
  /** Identifier of the request that brought the first event. */
  first: string | undefined;
  /** Data of the events, in order. */
  readonly events: string[];
  /** Statuses of the requests, in order; 0 where none came. */
  readonly statuses: number[];
  /** Number of counted requests that resumed the stream with events held. */
  resumeAttempts: number;
  /** Number of those that were resumed. */
  resumed: number;
  /** Number of requests that brought events and broke off before the end. */
  breaks: number;
  isComplete: boolean;
  /** Time that the last response asked to wait, in milliseconds. */
  retryAfterMs?: number;
}

/** Handler of an event, with the events held and the instance that brought it. */
export type EventHandler = (count: number, address: string) => void;

/** Creates a stream of which its caller holds nothing yet. */
export function emptyStream(): HeldStream {
  return {
    first: undefined,
    events: [],
    statuses: [],
    resumeAttempts: 0,
    resumed: 0,
    breaks: 0,
    isComplete: false,
  };
}

const ATTEMPT_TIMEOUT_MS = 4_000;
const RETRY_DELAY_MS = 100;
const OK_STATUS = 200;
const MS_PER_S = 1_000;

/** Reads streams, each request on a new connection to the next instance. */
export class StreamCaller {
  readonly #options: StreamCallerOptions;
  #requestCount = 0;

  constructor(options: StreamCallerOptions) {
    this.#options = options;
  }

  /**
   * Reads a stream until it is complete, resuming it as long as there is time.
   * @param onEvent - Called after each event, with the events held so far and
   *   the instance that brought it.
   */
  async read(
    id: string,
    options: {
      readonly timeoutMs: number;
      readonly onEvent?: EventHandler;
    },
  ): Promise<HeldStream> {
    const held = emptyStream();
    const endsAt = Date.now() + options.timeoutMs;
    for (let i = 0; !held.isComplete && Date.now() < endsAt; i += 1) {
      await this.request(`${id}-${i}`, held, options.onEvent);
      if (held.isComplete) break;
      await sleep(Math.max(RETRY_DELAY_MS, held.retryAfterMs ?? 0));
    }
    return held;
  }

  /** Sends one request, which resumes the stream if any events are held. */
  async request(
    id: string,
    held: HeldStream,
    onEvent: EventHandler = () => {},
  ): Promise<void> {
    const { host, key, prefix, model, entries } = this.#options;
    const addresses = entries();
    this.#requestCount += 1;
    const address = addresses[this.#requestCount % addresses.length];
    const client = new Client(`http://${address}`);
    const heldBefore = held.events.length;
    const isResumeAttempt = heldBefore > 0 && this.#isServed(held);
    if (isResumeAttempt) held.resumeAttempts += 1;
    try {
      const response = await client.request({
        method: "POST",
        path: `${prefix}s`,
        headers: {
          host,
          model,
          authorization: `Bearer ${key}`,
          "request-id": id,
          "deadline-ms": String(ATTEMPT_TIMEOUT_MS),
          ...(heldBefore === 0 ? {} : {
            resumes: held.first,
            "last-event-id": String(heldBefore),
          }),
        },
        body: `stream ${held.first ?? id}`,
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      held.statuses.push(response.statusCode);
      held.retryAfterMs = Number(response.headers["retry-after"] ?? 0) *
        MS_PER_S;
      if (response.statusCode !== OK_STATUS) await response.body.dump();
      else await this.#readEvents(response, { id, held, address, onEvent });
    } catch {
      // A broken connection; what is held says how far the stream came.
      held.statuses.push(0);
    } finally {
      const hasEvents = held.events.length > heldBefore;
      if (isResumeAttempt && hasEvents) held.resumed += 1;
      if (hasEvents && !held.isComplete) held.breaks += 1;
      client.destroy().catch(() => {});
    }
  }

  #isServed({ events }: HeldStream): boolean {
    const [software] = softwareOf(events.join("\n"));
    return this.#options.isServed?.(software) ?? true;
  }

  async #readEvents(
    response: Dispatcher.ResponseData,
    { id, held, address, onEvent }: {
      readonly id: string;
      readonly held: HeldStream;
      readonly address: string;
      readonly onEvent: EventHandler;
    },
  ): Promise<void> {
    const parser = createParser({
      onEvent: ({ id: number, data }) => {
        if (Number(number) !== held.events.length + 1) {
          throw new Error(`Event ${number} after ${held.events.length}`);
        }
        held.first ??= id;
        held.events.push(data);
        onEvent(held.events.length, address);
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of response.body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
    held.isComplete = held.events.length === eventCountOf(held.first ?? "");
  }
}
