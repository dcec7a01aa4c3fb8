/** What this instance knows of streams that callers may take up again. */
import type { CallRequest } from "../../core/calls/mod.ts";
import {
  type OutputWriter,
  StreamDirectory,
  type StreamKey,
  type StreamRecord,
} from "../../core/continuation/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import { namesService, RouteKind } from "../../core/policy/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Admission } from "../calls/mod.ts";
import { firstDefined, settleWithin } from "../settle.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { WriterAnswer } from "./stream_question.ts";
import { type LinkedControl, StreamResender } from "./stream_resender.ts";
import { WriterSearch } from "./writer_search.ts";

/** Longest time for which the first event of a stream waits, in milliseconds. */
const RECORD_WAIT_MS = 60;
/** Maximum number of streams that an instance remembers of its own callers. */
const MAX_OWN_STREAMS = 5_000;
const RECORD_TIMEOUT_MS = 1_000;
/**
 * Time after the timeout of its request for which a caller may still return: it
 * retries while instances are down, and waits between its requests.
 */
const RETURN_MS = 30_000;
/** Longest search for the writer of a stream, in milliseconds. */
const MAX_FIND_MS = 1_000;
/** Fraction of the caller's time that a search may take. */
const FIND_FRACTION = 0.25;
/** Retry delay of a stream whose writer is not known. */
const UNKNOWN_RETRY_AFTER_MS = 1_000;

type RecordsNode = Pick<
  FleetNode,
  "hub" | "linkedMembers" | "logger" | "metrics" | "now"
>;

/**
 * Keeps who wrote the events of each stream at the linked control instances, so
 * that callers can take it up at any instance.
 */
export class StreamRecords {
  readonly #node: RecordsNode;
  readonly #own: StreamDirectory;
  readonly #resender: StreamResender;

  constructor(node: RecordsNode) {
    this.#node = node;
    this.#own = new StreamDirectory({
      now: () => node.now,
      maxStreams: MAX_OWN_STREAMS,
    });
    this.#resender = new StreamResender({
      streams: this.#own,
      controls: () => this.#controls,
      send: (id, records) => this.#send(id, FleetMethod.RecordStreams, records),
    });
  }

  /**
   * Finds who wrote the events of a stream that a caller takes up; undefined if
   * the call takes none up.
   * @throws RefusalError if that is not known, or the route no longer allows
   *     the service.
   */
  async findWriter(
    { resumption, timeoutMs = Infinity }: CallRequest,
    { route, workspace }: Admission,
  ): Promise<OutputWriter | undefined> {
    if (route.kind !== RouteKind.Streaming) return undefined;
    if (resumption === undefined) return undefined;
    const { first } = resumption;
    const leftMs = Math.min(timeoutMs, route.timeoutMs);
    const { writer, isCertain } = first === undefined
      ? UNNAMED_STREAM
      : await this.find(
        { workspace: workspace?.name, request: first },
        Math.min(MAX_FIND_MS, leftMs * FIND_FRACTION),
      );
    if (writer !== undefined && namesService(route, writer.service)) {
      return writer;
    }
    throw new RefusalError(RefusalReason.StreamUnknown, Verdict.NotRun, {
      message: isCertain
        ? "It is not known which target began the stream"
        : "Not all instances said in time which target began the stream",
      retryAfterMs: UNKNOWN_RETRY_AFTER_MS,
    });
  }

  /** Records the stream of a call for as long as its caller may return. */
  async record(
    call: CallRequest,
    { route, workspace }: Admission,
    writer: OutputWriter,
  ): Promise<void> {
    await this.add({
      workspace: workspace?.name,
      request: call.resumption?.first ?? call.id,
      writer,
      keepMs: Math.max(call.timeoutMs ?? 0, route.timeoutMs) + RETURN_MS,
    });
  }

  /**
   * Records a stream, and waits for a moment until a control instance has it.
   * The stream goes on in any case: a caller that holds an event loses more by
   * the wait than by the risk that it cannot be taken up. Control instances that
   * have missed it get it later.
   */
  async add(record: StreamRecord): Promise<void> {
    const controls = this.#resender.observe();
    this.#own.add(record);
    const stored = firstDefined(
      controls.map((control) => this.#store(control, record)),
    );
    const recorded = await settleWithin(stored, RECORD_WAIT_MS);
    if (recorded.isSettled && recorded.value === true) return;
    this.#node.metrics.count("streams.unrecorded");
    this.#node.logger.event("streamUnrecorded", { request: record.request });
  }

  /**
   * Finds who wrote the events of a stream.
   * @param timeoutMs - Longest time of the search, in milliseconds.
   */
  async find(key: StreamKey, timeoutMs: number): Promise<WriterAnswer> {
    const writer = this.#own.get(key);
    if (writer !== undefined) return { writer, isCertain: true };
    return await new WriterSearch({
      hub: this.#node.hub,
      key,
      controls: () => this.#controls.map(({ id }) => id),
      now: () => this.#node.now,
      timeoutMs,
    }).run();
  }

  get #controls(): LinkedControl[] {
    return this.#node.linkedMembers(FleetRole.Control).map(({ id }) => ({
      id,
      incarnation: this.#node.hub.getPresence(id)?.incarnation ?? "",
    }));
  }

  async #store(
    control: LinkedControl,
    record: StreamRecord,
  ): Promise<true | undefined> {
    try {
      await this.#send(control.id, FleetMethod.RecordStream, record);
      return true;
    } catch {
      // Another control instance may have it; `add` logs that none has.
      this.#resender.onMissed(control, record);
      return undefined;
    }
  }

  async #send(id: string, method: string, params: unknown): Promise<void> {
    await this.#node.hub.request(id, method, {
      params,
      timeoutMs: RECORD_TIMEOUT_MS,
    });
  }
}

/** Answer for a caller that does not say which request began its stream. */
const UNNAMED_STREAM: WriterAnswer = { writer: undefined, isCertain: true };
