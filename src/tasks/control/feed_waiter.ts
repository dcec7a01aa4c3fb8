/** Waits until changes are applied here, or in force everywhere. */
import { setTimeout as sleep } from "node:timers/promises";
import type { InForceStatus } from "../../core/feed/mod.ts";
import type { FeedTask } from "./feed_task.ts";

/** Request to wait until an index is in force. */
export interface AwaitInForceRequest {
  readonly index: number;
  /** Home data centres of the workspaces concerned. */
  readonly homes: readonly string[];
}

/** Options of {@link FeedWaiter}. */
export interface FeedWaiterOptions {
  readonly feed: Pick<FeedTask, "node" | "updateRoot">;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Longest wait until a change is in force. */
export const IN_FORCE_TIMEOUT_MS = 4_500;
const APPLY_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 20;

/** Polls the feed, for limited times. */
export class FeedWaiter {
  readonly #options: FeedWaiterOptions;

  constructor(options: FeedWaiterOptions) {
    this.#options = options;
  }

  /** Waits until an index is in force on every instance, or they are fenced. */
  async untilInForce(
    { index, homes }: AwaitInForceRequest,
  ): Promise<InForceStatus> {
    const { feed, now } = this.#options;
    const endsAt = now() + IN_FORCE_TIMEOUT_MS;
    while (true) {
      feed.updateRoot();
      const status = feed.node.inForceStatus(index, homes, now());
      if (status.isInForce || now() >= endsAt) return status;
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until this instance has applied an index. */
  async untilApplied(index: number): Promise<void> {
    const { feed, now } = this.#options;
    const endsAt = now() + APPLY_TIMEOUT_MS;
    while (feed.node.applied < index && now() < endsAt) {
      await sleep(POLL_INTERVAL_MS);
    }
  }
}
