/** Sends a leader's log to the other members. */
import type { ConsensusMessage } from "./consensus_message.ts";
import type { LogEntry } from "./log_entry.ts";
import { allMembers, type Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { ReplicatedLog } from "./replicated_log.ts";
import type { ReplicationTracker } from "./replication_tracker.ts";

/** Options of {@link LogSender}. */
export interface LogSenderOptions<C, S> {
  /** The leader. */
  readonly self: ReplicaId;
  /** Term that it leads. */
  readonly term: number;
  readonly log: ReplicatedLog<C, S>;
  readonly tracker: ReplicationTracker;
  /** Time between two signs of life. */
  readonly heartbeatMs: number;
  /** Gets about how many bytes a command takes; none counts where absent. */
  readonly sizeOf?: (command: C) => number;
  readonly send: (message: ConsensusMessage<C, S>) => void;
}

/** Options of a message to a replica. */
export interface SendOptions {
  /** Whether it is sent although there is nothing new. */
  readonly isHeartbeat: boolean;
}

/** Entries in one message. */
const MAX_ENTRIES = 256;
/** Bytes of commands in one message, unless one command has more. */
const MAX_BYTES = 262_144;
/**
 * Time after which an unanswered message with entries is sent again.
 *
 * What a broken link has lost shows sooner, by the answer to a heartbeat.
 */
const RESEND_HEARTBEATS = 20;

/** Decides what each member is sent, and when again. */
export class LogSender<C, S> {
  readonly #options: LogSenderOptions<C, S>;

  /** Creates the sender of one term. */
  constructor(options: LogSenderOptions<C, S>) {
    this.#options = options;
  }

  /** Sends to all members what they lack. */
  broadcast(members: Members, now: number, options: SendOptions): void {
    for (const replica of allMembers(members)) {
      if (replica !== this.#options.self) {
        this.replicate(replica, now, options);
      }
    }
  }

  /** Sends a replica what it lacks. */
  replicate(
    replica: ReplicaId,
    now: number,
    { isHeartbeat }: SendOptions,
  ): void {
    const { log, tracker, heartbeatMs } = this.#options;
    const progress = tracker.of(replica);
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
    const entries = isPending ? [] : this.#part(progress.next);
    if (entries.length === 0 && !isHeartbeat) return;
    if (entries.length > 0) progress.pendingSince = now;
    const reach = prevIndex + entries.length;
    progress.told = Math.max(progress.told, Math.min(log.committed, reach));
    this.#options.send({
      type: "appendRequest",
      ...this.#base(replica),
      prevIndex,
      prevTerm,
      entries,
      committed: log.committed,
      sentAt: now,
    });
  }

  /** Tells the commit to those that are known to hold the entry. */
  tellCommitted(members: Members, now: number): void {
    const { self, log, tracker } = this.#options;
    for (const replica of allMembers(members)) {
      if (replica === self) continue;
      const isHeld = tracker.of(replica).match >= log.committed;
      if (isHeld) this.replicate(replica, now, { isHeartbeat: true });
    }
  }

  #base(to: ReplicaId): { from: ReplicaId; to: ReplicaId; term: number } {
    const { self, term } = this.#options;
    return { from: self, to, term };
  }

  /** Gets entries from a position on; they take a bounded time to send. */
  #part(index: number): LogEntry<C>[] {
    const { log, sizeOf } = this.#options;
    const entries = log.from(index, MAX_ENTRIES);
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
      ...this.#base(replica),
      prevIndex: 0,
      prevTerm: 0,
      entries: [],
      committed: this.#options.log.committed,
      sentAt: now,
    });
  }

  #sendSnapshot(replica: ReplicaId, now: number): void {
    const { log, tracker } = this.#options;
    tracker.of(replica).pendingSince = now;
    this.#options.send({
      type: "snapshotRequest",
      ...this.#base(replica),
      snapshot: log.snapshot,
      sentAt: now,
    });
  }
}
