/** The streams that a control instance knows. */
import {
  StreamDirectory,
  type StreamKey,
  type StreamRecord,
} from "../../core/continuation/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";
import { askForWriter, type WriterAnswer } from "./stream_question.ts";

/** Time allowed for the answer of another control instance. */
const PEER_TIMEOUT_MS = 150;
/**
 * Time after the start for which the seeds count as control instances that may
 * know a stream; afterwards only those that are present do.
 */
const JOIN_MS = 6_000;

/** Node of the control instance that a {@link StreamService} serves. */
export type StreamServiceNode = Pick<
  FleetNode,
  "hub" | "linkedMembers" | "now" | "roster" | "settings"
>;

/**
 * Serves {@link StreamRecords} of other instances. An instance records a stream
 * at a few control instances only, so one that does not know it asks the others.
 */
export class StreamService {
  readonly #node: StreamServiceNode;
  readonly #streams: StreamDirectory;
  readonly #startedAt: number;

  /** Creates the service and registers its peer methods. */
  constructor(node: StreamServiceNode) {
    this.#node = node;
    this.#startedAt = node.now;
    this.#streams = new StreamDirectory({ now: () => node.now });
    node.hub
      .handle(FleetMethod.RecordStream, (params) => {
        this.#streams.add(params as StreamRecord);
        return true;
      })
      .handle(FleetMethod.RecordStreams, (params) => {
        for (const record of params as StreamRecord[]) {
          this.#streams.add(record);
        }
        return true;
      })
      .handle(
        FleetMethod.FindStream,
        (params, from) => this.#find(params as StreamKey, from),
      );
  }

  async #find(key: StreamKey, from: string): Promise<WriterAnswer> {
    const { hub } = this.#node;
    const writer = this.#streams.get(key);
    const others = this.#node.linkedMembers(FleetRole.Control)
      .map(({ id }) => id);
    // A control instance asks for what it does not know itself.
    const isSettled = writer !== undefined || others.includes(from);
    if (isSettled) return { writer, isCertain: true };
    return await askAll(
      others.map((instance) =>
        askForWriter(hub, { instance, key, timeoutMs: PEER_TIMEOUT_MS })
      ),
      this.#isLinkedToAll(new Set(others)),
    );
  }

  /** Gets whether all control instances that may know a stream are linked. */
  #isLinkedToAll(linked: ReadonlySet<string>): boolean {
    const { settings, roster, now } = this.#node;
    const isJoining = now - this.#startedAt < JOIN_MS;
    const expected = [
      ...roster.membersOf(FleetRole.Control, now).map(({ id }) => id),
      ...(isJoining ? settings.seeds : []),
    ];
    return expected.every((id) => id === settings.id || linked.has(id));
  }
}

/** Gets the first answer with a writer; without one, whether all are certain. */
function askAll(
  answers: readonly Promise<WriterAnswer>[],
  areAllAsked: boolean,
): Promise<WriterAnswer> {
  return new Promise((resolve, reject) => {
    const found = answers.map(async (answer) => {
      const { writer, isCertain } = await answer;
      if (writer !== undefined) resolve({ writer, isCertain: true });
      return isCertain;
    });
    Promise.all(found).then((certain) => {
      const isCertain = areAllAsked && certain.every(Boolean);
      resolve({ writer: undefined, isCertain });
    }, reject);
  });
}
