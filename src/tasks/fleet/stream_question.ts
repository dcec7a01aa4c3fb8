/** The question who wrote the events of a stream, between instances. */
import type { OutputWriter, StreamKey } from "../../core/continuation/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import { FleetMethod } from "./fleet_method.ts";

/** Reply to {@link FleetMethod.FindStream}. */
export interface FoundStream {
  /** Who wrote the events; undefined if the stream is not known. */
  readonly writer: OutputWriter | undefined;
  /**
   * Whether all control instances that the answering one knows of have said
   * so. Earlier builds do not say; their answers count as certain.
   */
  readonly isCertain?: boolean;
}

/** Answer to the question; one that does not come is not certain. */
export type WriterAnswer = Required<FoundStream>;

/** Options of {@link askForWriter}. */
export interface WriterQuestion {
  /** Instance that is asked. */
  readonly instance: string;
  readonly key: StreamKey;
  /** Time for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Asks an instance who wrote the events of a stream; never rejects. */
export async function askForWriter(
  hub: Pick<PeerHub, "request">,
  { instance, key, timeoutMs }: WriterQuestion,
): Promise<WriterAnswer> {
  try {
    const found = await hub.request(instance, FleetMethod.FindStream, {
      params: key,
      timeoutMs,
    }) as FoundStream;
    return { writer: found.writer, isCertain: found.isCertain ?? true };
  } catch {
    // The instance is lost, or too slow; it may know the stream all the same.
    return { writer: undefined, isCertain: false };
  }
}
