/** Replicates a leader's log to the other members. */
import type { ConsensusMessage } from "./consensus_message.ts";
import type { LogEntry } from "./log_entry.ts";
import { allMembers, type Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { ReplicatedLog } from "./replicated_log.ts";
import type { ReplicationTracker } from "./replication_tracker.ts";

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
  /**
   * Estimates the size of a command in bytes. Without it, messages are not
   * limited in bytes.
   */
  readonly sizeOf?: (command: C) => number;
  /** Gets the time that followers add to their election timeouts. */
  readonly electionDelayMs: (now: number) => number;
  readonly send: (message: ConsensusMessage<C, S>) => void;
}

/** Options for sending to a replica. */
export interface SendOptions {
  /** Whether to send a message even if there are no new entries. */
  readonly isHeartbeat: boolean;
}

/** Maximum number of entries in one message. */
const MAX_ENTRIES = 256;
/**
 * Maximum bytes of commands in one message; a single larger command is sent
 * alone.
 */
const MAX_BYTES = 262_144;
/**
 * Number of heartbeat intervals after which an unanswered message with entries
 * is sent again.
 *
 * Losses on a broken connection are detected earlier, by the reply to a
 * heartbeat.
 */
const RESEND_HEARTBEATS = 20;

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
   * Sends a replica its missing entries, or a snapshot if they are compacted.
   */
  replicate(
    replica: ReplicaId,
    now: number,
    { isHeartbeat }: SendOptions,
  ): void {
    const { log, tracker, heartbeatMs } = this.#options;
    const progress = tracker.progressOf(replica);
    const resendMs = heartbeatMs * RESEND_HEARTBEATS;
    const isPending = progress.pendingSince !== undefined &&
      now - progress.pendingSince < resendMs;
    if (isPending && !isHeartbeat) return;
    const prevIndex = progress.next - 1;
    const prevTerm = log.termAt(prevIndex);
    if (prevTerm === undefined) {
      if (!isPending) this.#sendSnapshot(replica, now);
      else this.#sendHeartbeat(replica, now);
      return;
    }
    const entries = isPending ? [] : this.#takeBatch(progress.next);
    if (entries.length === 0 && !isHeartbeat) return;
    if (entries.length > 0) progress.pendingSince = now;
    const lastSent = prevIndex + entries.length;
    progress.sentCommit = Math.max(
      progress.sentCommit,
      Math.min(log.committed, lastSent),
    );
    this.#options.send({
      type: "appendRequest",
      ...this.#envelope(replica),
      prevIndex,
      prevTerm,
      entries,
      committed: log.committed,
      ...this.#electionDelay(now),
      sentAt: now,
    });
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

  /**
   * Gets entries from an index on, limited in count and size to bound the send
   * time.
   */
  #takeBatch(index: number): LogEntry<C>[] {
    const { log, sizeOf } = this.#options;
    const entries = log.entriesFrom(index, MAX_ENTRIES);
    let bytes = 0;
    const end = entries.findIndex(({ content }) => {
      if (content.type === "command") bytes += sizeOf?.(content.command) ?? 0;
      return bytes > MAX_BYTES;
    });
    return end < 0 ? entries : entries.slice(0, Math.max(1, end));
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
    tracker.progressOf(replica).pendingSince = now;
    this.#options.send({
      type: "snapshotRequest",
      ...this.#envelope(replica),
      snapshot: log.snapshot,
      sentAt: now,
    });
  }
}
