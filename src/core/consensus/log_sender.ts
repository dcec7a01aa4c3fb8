/** Replicates a leader's log to the other members. */
import type { ConsensusMessage } from "./consensus_message.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import { allMembers, type Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { ReplicatedLog } from "./replicated_log.ts";
import type { ReplicationTracker } from "./replication_tracker.ts";
import type { SnapshotDivider } from "./snapshot_parts.ts";
import { type PartRange, SnapshotTransfer } from "./snapshot_transfer.ts";

/** Options of {@link LogSender}. */
export interface LogSenderOptions<C, S> {
  /** Identity of the leader. */
  readonly self: ReplicaId;
  /** Term of the leader. */
  readonly term: number;
  readonly log: ReplicatedLog<C, S>;
  readonly tracker: ReplicationTracker;
  /** Interval between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  readonly divider: SnapshotDivider<S>;
  readonly isLearner: (replica: ReplicaId) => boolean;
  /** Creates a snapshot of the applied state, with references. */
  readonly createReferences: () => LogSnapshot<S>;
  /** Gets whether this leader lacks data that its state refers to. */
  readonly isPartial: () => boolean;
  /** Gets the time that followers add to their election timeouts. */
  readonly electionDelayMs: (now: number) => number;
  readonly send: (message: ConsensusMessage<C, S>) => void;
}

/** Options for sending to a replica. */
export interface SendOptions {
  /** Whether to send a message even if there are no new entries. */
  readonly isHeartbeat: boolean;
}

/** Limits of the entries, or of the parts of a snapshot, in one message. */
const LIMITS = { maxEntries: 256, maxBytes: 262_144 };
/**
 * Number of heartbeat intervals after which an unanswered message is sent again.
 *
 * Losses on a broken connection are detected earlier, by the reply to a
 * heartbeat, or to a question for the parts of a snapshot.
 */
const RESEND_HEARTBEATS = 20;

/**
 * Size of the entries above which a learner is sent the state in their place, in
 * bytes, if it takes references.
 */
const MAX_ENTRIES_BYTES = 1_048_576;

/** Decides what to send to each member, and when to resend it. */
export class LogSender<C, S> {
  readonly #options: LogSenderOptions<C, S>;

  /** Creates the sender for one term. */
  constructor(options: LogSenderOptions<C, S>) {
    this.#options = options;
  }

  /** Sends each other member its missing entries. */
  broadcast(members: Members, now: number, options: SendOptions): void {
    for (const replica of allMembers(members)) {
      if (replica !== this.#options.self) {
        this.replicate(replica, now, options);
      }
    }
  }

  /**
   * Sends a replica its missing entries, or a snapshot if they are compacted or
   * take longer.
   *
   * A message that is not full waits until all others are answered, so that
   * entries are combined; full ones follow each other without waiting.
   */
  replicate(
    replica: ReplicaId,
    now: number,
    { isHeartbeat }: SendOptions,
  ): void {
    const { log, tracker } = this.#options;
    const progress = tracker.progressOf(replica);
    const overdueBefore = now -
      this.#options.heartbeatMs * RESEND_HEARTBEATS;
    progress.next = progress.window.takeOverdue(overdueBefore) ?? progress.next;
    if (!log.holdsAfter(progress.next - 1) || this.#prefersState(replica)) {
      progress.transfer?.resendBefore(overdueBefore);
      const isSent = this.#replicateSnapshot(replica, now);
      if (isSent || !isHeartbeat) return;
      this.#sendHeartbeat(replica, now);
      this.#askForParts(replica, now);
      return;
    }
    progress.transfer = undefined;
    const isSent = this.#replicateEntries(replica, now);
    if (!isSent && isHeartbeat) this.#sendEntries(replica, [], now);
  }

  /**
   * Gets whether a replica is sent the state although the log has its entries: a
   * learner that they would take too long, once in a term.
   */
  #prefersState(replica: ReplicaId): boolean {
    const { log, tracker, isLearner } = this.#options;
    const { match, next, transfer, sent } = tracker.progressOf(replica);
    if (transfer !== undefined) return transfer.snapshot.index > match;
    if (sent.snapshots > 0 || !isLearner(replica)) return false;
    if (!tracker.mayReference(replica)) return false;
    const limits = { maxEntries: Infinity, maxBytes: MAX_ENTRIES_BYTES };
    return log.batchFrom(next, limits).isFull;
  }

  /** Sends the entries that may be sent; returns whether there are any. */
  #replicateEntries(replica: ReplicaId, now: number): boolean {
    const { log, tracker } = this.#options;
    const progress = tracker.progressOf(replica);
    let isSent = false;
    for (;;) {
      const { entries, isFull, bytes } = log.batchFrom(progress.next, LIMITS);
      const isNext = progress.window.isEmpty ||
        (isFull && !progress.isProbing && !progress.window.isFull);
      if (entries.length === 0 || !isNext) return isSent;
      this.#sendEntries(replica, entries, now);
      progress.sent.bytes += bytes;
      isSent = true;
    }
  }

  #sendEntries(
    replica: ReplicaId,
    entries: readonly LogEntry<C>[],
    now: number,
  ): void {
    const { log, tracker } = this.#options;
    const progress = tracker.progressOf(replica);
    const first = progress.next;
    const last = first + entries.length - 1;
    const message = {
      ...this.#envelope(replica),
      prevIndex: first - 1,
      prevTerm: log.termAt(first - 1) ?? 0,
      entries,
      committed: log.committed,
    };
    if (entries.length > 0) progress.window.add({ first, last, sentAt: now });
    progress.next = last + 1;
    progress.sentCommit = Math.max(
      progress.sentCommit,
      Math.min(log.committed, last),
    );
    this.#options.send({
      type: "appendRequest",
      ...message,
      ...this.#electionDelay(now),
      sentAt: now,
    });
  }

  /** Sends what may be sent of the snapshot; returns whether that is any. */
  #replicateSnapshot(replica: ReplicaId, now: number): boolean {
    const { tracker, isPartial } = this.#options;
    const progress = tracker.progressOf(replica);
    // Its answer to a heartbeat says what it takes.
    if (progress.answeredAt === -Infinity) return false;
    if (isPartial() && !tracker.mayReference(replica)) return false;
    if (progress.takesParts) return this.#sendParts(replica, now);
    if (!progress.window.isEmpty) return false;
    this.#sendSnapshot(replica, now);
    return true;
  }

  #sendParts(replica: ReplicaId, now: number): boolean {
    const progress = this.#options.tracker.progressOf(replica);
    const transfer = this.#getTransfer(replica);
    let isSent = false;
    for (;;) {
      const range = transfer.take(now);
      if (range === undefined) return isSent;
      this.#sendPartRange(replica, transfer, { ...range, now });
      progress.sent.bytes += range.bytes;
      isSent = true;
    }
  }

  /**
   * Asks a replica which parts it holds while some are not answered. The question
   * follows them, so a refusal says that some were lost.
   */
  #askForParts(replica: ReplicaId, now: number): void {
    const { transfer } = this.#options.tracker.progressOf(replica);
    const range = transfer?.getQuestion();
    if (transfer === undefined || range === undefined) return;
    this.#sendPartRange(replica, transfer, { ...range, now });
  }

  #sendPartRange(
    replica: ReplicaId,
    { snapshot, total }: SnapshotTransfer,
    { first, parts, now }: PartRange & { readonly now: number },
  ): void {
    this.#options.send({
      type: "snapshotPartRequest",
      ...this.#envelope(replica),
      snapshot,
      first,
      total,
      parts,
      sentAt: now,
    });
  }

  /**
   * Gets the transfer of a snapshot to a replica. It goes on with the snapshot
   * that it began with while the log holds the entries that follow.
   */
  #getTransfer(replica: ReplicaId): SnapshotTransfer {
    const { log, tracker, divider, createReferences } = this.#options;
    const progress = tracker.progressOf(replica);
    const { transfer } = progress;
    if (transfer !== undefined && log.holdsAfter(transfer.snapshot.index)) {
      return transfer;
    }
    const { state, ...snapshot } = tracker.mayReference(replica)
      ? createReferences()
      : log.snapshot;
    progress.transfer = new SnapshotTransfer({
      snapshot,
      parts: divider.split(state),
      maxBytes: LIMITS.maxBytes,
    });
    progress.sent.snapshots += 1;
    return progress.transfer;
  }

  /**
   * Sends the commit index to the replicas known to hold the committed entries.
   */
  sendCommitIndex(members: Members, now: number): void {
    const { self, log, tracker } = this.#options;
    for (const replica of allMembers(members)) {
      if (replica === self) continue;
      const hasCommitted = tracker.progressOf(replica).match >= log.committed;
      if (hasCommitted) this.replicate(replica, now, { isHeartbeat: true });
    }
  }

  #envelope(to: ReplicaId): { from: ReplicaId; to: ReplicaId; term: number } {
    const { self, term } = this.#options;
    return { from: self, to, term };
  }

  #sendHeartbeat(replica: ReplicaId, now: number): void {
    this.#options.send({
      type: "appendRequest",
      ...this.#envelope(replica),
      prevIndex: 0,
      prevTerm: 0,
      entries: [],
      committed: this.#options.log.committed,
      ...this.#electionDelay(now),
      sentAt: now,
    });
  }

  #electionDelay(now: number): { electionDelayMs?: number } {
    const electionDelayMs = this.#options.electionDelayMs(now);
    return electionDelayMs > 0 ? { electionDelayMs } : {};
  }

  #sendSnapshot(replica: ReplicaId, now: number): void {
    const { log, tracker } = this.#options;
    const { index } = log.snapshot;
    const { window, sent } = tracker.progressOf(replica);
    window.add({ first: index, last: index, sentAt: now });
    sent.snapshots += 1;
    this.#options.send({
      type: "snapshotRequest",
      ...this.#envelope(replica),
      snapshot: log.snapshot,
      sentAt: now,
    });
  }
}
