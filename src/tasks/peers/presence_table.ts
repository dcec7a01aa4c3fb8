/** Heartbeats received from other instances. */
import type { Presence } from "./peer_envelope.ts";

interface ReceivedPresence {
  readonly presence: Presence;
  readonly at: number;
}

/** Time without a heartbeat after which an instance counts as absent. */
const ABSENT_AFTER_MS = 3_500;

/** Keeps the last heartbeat of each instance and when it arrived. */
export class PresenceTable {
  readonly #received = new Map<string, ReceivedPresence>();
  readonly #now: () => number;
  readonly #createdAt: number;

  /** @param now - Gets the current time in milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
    this.#createdAt = now();
  }

  /**
   * Records a heartbeat that has arrived now.
   * @returns Whether the instance has a replica that was not present before.
   */
  record(id: string, presence: Presence): boolean {
    const replica = presence.member?.replica;
    const isNew = replica !== this.get(id)?.member?.replica;
    this.#received.set(id, { presence, at: this.#now() });
    return isNew && replica !== undefined;
  }

  /** Checks whether a heartbeat has arrived within {@link ABSENT_AFTER_MS}. */
  isPresent(id: string): boolean {
    const received = this.#received.get(id);
    return received !== undefined &&
      this.#now() - received.at < ABSENT_AFTER_MS;
  }

  /** Gets the instances that are present. */
  get presentIds(): readonly string[] {
    return [...this.#received.keys()].filter((id) => this.isPresent(id));
  }

  /**
   * Gets the time since the last heartbeat of an instance in milliseconds, or
   * since this table was created if there was none.
   */
  absentMs(id: string): number {
    return this.#now() - (this.#received.get(id)?.at ?? this.#createdAt);
  }

  /** Gets the last presence of an instance; undefined if it is absent. */
  get(id: string): Presence | undefined {
    return this.isPresent(id) ? this.#received.get(id)?.presence : undefined;
  }
}
