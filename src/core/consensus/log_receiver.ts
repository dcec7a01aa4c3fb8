/** Receives the log of a leader: entries and snapshots. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type {
  AppendReply,
  AppendRequest,
  SnapshotPartRequest,
  SnapshotRequest,
} from "./consensus_message.ts";
import type { ElectionTimer } from "./election_timer.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { ReplicaState } from "./replica_state.ts";
import { Role } from "./role.ts";
import type { SnapshotDivider } from "./snapshot_parts.ts";
import { SnapshotReceiver } from "./snapshot_receiver.ts";
import type { StateReferences } from "./state_references.ts";

/** Options of {@link LogReceiver}. */
export interface LogReceiverOptions<C, S> {
  readonly state: ReplicaState<C, S>;
  readonly timer: ElectionTimer;
  readonly divider: SnapshotDivider<S>;
  readonly references: StateReferences<C, S> | undefined;
  /** Makes this replica a follower of the leader of the current term. */
  readonly follow: (leader: ReplicaId) => void;
}

/**
 * Stores what a leader sends and replies to it.
 *
 * @example
 * ```ts
 * receiver.onAppendRequest(message, now);
 * ```
 */
export class LogReceiver<C, S> {
  readonly #options: LogReceiverOptions<C, S>;
  readonly #state: ReplicaState<C, S>;
  readonly #parts: SnapshotReceiver;

  /** Creates the receiver of a replica, for all terms. */
  constructor(options: LogReceiverOptions<C, S>) {
    this.#options = options;
    this.#state = options.state;
    const { divider } = options;
    this.#parts = new SnapshotReceiver((part) => divider.hold?.(part) ?? part);
  }

  /** Stores entries that follow the local log, and rejects any others. */
  onAppendRequest(message: AppendRequest<C>, now: number): void {
    const state = this.#state;
    if (message.term < state.term) {
      this.#reply(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderContact(message, now);
    const { prevIndex, prevTerm } = message;
    const isBeforeSnapshot = prevIndex < state.log.snapshot.index;
    if (!isBeforeSnapshot && state.log.termAt(prevIndex) !== prevTerm) {
      const matchIndex = state.log.lastBeforeTermOf(prevIndex);
      this.#reply(message, { isAccepted: false, matchIndex });
      return;
    }
    const matchIndex = prevIndex + message.entries.length;
    state.storeEntries(message.entries)
      .commitTo(Math.min(message.committed, matchIndex));
    this.#reply(message, { isAccepted: true, matchIndex });
  }

  /** Restores a snapshot, unless the local log has its entries. */
  onSnapshotRequest(message: SnapshotRequest<S>, now: number): void {
    const state = this.#state;
    if (message.term < state.term) {
      this.#reply(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderContact(message, now);
    const { snapshot } = message;
    if (snapshot.index > state.log.committed) state.restore(snapshot);
    this.#reply(message, { isAccepted: true, matchIndex: snapshot.index });
  }

  /** Collects the parts of a snapshot, and restores it with the last one. */
  onSnapshotPartRequest(message: SnapshotPartRequest, now: number): void {
    const state = this.#state;
    const { snapshot, sentAt } = message;
    if (message.term < state.term) {
      this.#reply(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderContact(message, now);
    if (snapshot.index > state.log.committed) {
      const isAccepted = this.#parts.add(message);
      const complete = this.#parts.getComplete();
      if (complete === undefined) {
        const { received } = this.#parts;
        state.send({
          type: "snapshotPartReply",
          ...state.envelope(message.from),
          index: snapshot.index,
          isAccepted,
          received,
          sentAt,
        });
        return;
      }
      const joined = this.#options.divider.join(complete.parts);
      state.restore({ ...complete.snapshot, state: this.#attach(joined) });
    }
    this.#parts.clear();
    this.#reply(message, { isAccepted: true, matchIndex: snapshot.index });
  }

  /** Fills a received state with the data that this replica has. */
  #attach(received: S): S {
    const { references, state } = this.#options;
    if (references === undefined) return received;
    const pending = state.log
      .entriesFrom(references.getApplied().index + 1, Infinity)
      .map(({ content }) => content)
      .filter((content) => content.type === "command")
      .map(({ command }) => command);
    return references.attach(received, pending);
  }

  #onLeaderContact(
    { from, electionDelayMs = 0 }: {
      readonly from: ReplicaId;
      readonly electionDelayMs?: number;
    },
    now: number,
  ): void {
    const state = this.#state;
    assertInvariant(
      state.role !== Role.Leader,
      Invariant.OneLeaderPerTerm,
      `${from} and ${state.self} both lead term ${state.term}`,
    );
    if (state.role !== Role.Follower) this.#options.follow(from);
    assertInvariant(
      state.leader === undefined || state.leader === from,
      Invariant.OneLeaderPerTerm,
      `${from} and ${state.leader} both lead term ${state.term}`,
    );
    state.setLeader(from);
    this.#options.timer.onContact(now, electionDelayMs);
  }

  #reply(
    message: { readonly from: ReplicaId; readonly sentAt: number },
    reply: { readonly isAccepted: boolean; readonly matchIndex: number },
  ): void {
    this.#state.send({
      type: "appendReply",
      ...this.#state.envelope(message.from),
      ...reply,
      takesParts: true,
      ...this.#describeReferences(),
      sentAt: message.sentAt,
    });
  }

  #describeReferences(): Pick<AppendReply, "takesReferences" | "isPartial"> {
    const { references } = this.#options;
    if (references === undefined) return {};
    return references.isPartial()
      ? { takesReferences: true, isPartial: true }
      : { takesReferences: true };
  }
}
