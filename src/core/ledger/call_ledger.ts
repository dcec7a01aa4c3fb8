/** Non-idempotent calls, recorded by the caller's idempotency key. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { CallKey, StoredResponse } from "./ledger_record.ts";

/** Recorded state of a call. */
export type CallState =
  | {
    readonly type: "running";
    readonly fingerprint: string;
    readonly owner: string;
  }
  | {
    readonly type: "finished";
    readonly fingerprint: string;
    readonly answer: StoredResponse;
  }
  | { readonly type: "lost"; readonly fingerprint: string };

/** Serializable state of the calls. */
export interface CallLedgerState {
  readonly calls: readonly (readonly [string, CallState])[];
}

/**
 * Maximum number of calls recorded before the oldest finished ones are evicted.
 */
const MAX_CALLS = 20_000;

/**
 * Records each non-idempotent call before it runs, so that it never runs twice.
 *
 * @example
 * ```ts
 * calls.start({ workspace: "artis", key: "k1" }, { fingerprint, owner });
 * calls.get({ workspace: "artis", key: "k1" })?.type; // "running"
 * ```
 */
export class CallLedger {
  readonly #calls = new Map<string, CallState>();

  /** Gets the state of a call, or undefined if it is not recorded. */
  get(key: CallKey): CallState | undefined {
    return this.#calls.get(formatCallKey(key));
  }

  /**
   * Records the start of a call.
   *
   * @throws InvariantError if a call with this key is recorded already.
   */
  start(key: CallKey, run: { fingerprint: string; owner: string }): this {
    assertInvariant(
      !this.#calls.has(formatCallKey(key)),
      Invariant.NonIdempotentAtMostOnce,
      `Call ${key.key} of workspace ${key.workspace} has already been started`,
    );
    this.#calls.set(formatCallKey(key), { type: "running", ...run });
    return this;
  }

  /**
   * Records the response to a running call. Ignored if the call is not running.
   */
  finish(key: CallKey, answer: StoredResponse): this {
    const call = this.get(key);
    if (call?.type !== "running") return this;
    this.#calls.delete(formatCallKey(key));
    const { fingerprint } = call;
    this.#calls.set(formatCallKey(key), {
      type: "finished",
      fingerprint,
      answer,
    });
    this.#evictOldestFinished();
    return this;
  }

  /**
   * Removes a running call that was not executed, so that it may be retried.
   */
  clear(key: CallKey): this {
    if (this.get(key)?.type === "running") {
      this.#calls.delete(formatCallKey(key));
    }
    return this;
  }

  /**
   * Marks a running call as lost: it may have been executed, and no response
   * will follow.
   */
  markLost(key: CallKey): this {
    const call = this.get(key);
    if (call?.type !== "running") return this;
    const { fingerprint } = call;
    this.#calls.set(formatCallKey(key), { type: "lost", fingerprint });
    return this;
  }

  /** Gets the running calls with the processes that run them. */
  running(): { readonly key: CallKey; readonly owner: string }[] {
    const running: { key: CallKey; owner: string }[] = [];
    for (const [name, call] of this.#calls) {
      if (call.type !== "running") continue;
      running.push({ key: parseCallKey(name), owner: call.owner });
    }
    return running;
  }

  save(): CallLedgerState {
    return { calls: [...this.#calls] };
  }

  /** Replaces the state with a saved one. */
  load(state: CallLedgerState): this {
    this.#calls.clear();
    for (const [name, call] of state.calls) this.#calls.set(name, call);
    return this;
  }

  #evictOldestFinished(): void {
    if (this.#calls.size <= MAX_CALLS) return;
    for (const [name, call] of this.#calls) {
      if (call.type !== "finished") continue;
      this.#calls.delete(name);
      return;
    }
  }
}

function parseCallKey(name: string): CallKey {
  const at = name.indexOf("/");
  return { workspace: name.slice(0, at), key: name.slice(at + 1) };
}

function formatCallKey(key: CallKey): string {
  return `${key.workspace}/${key.key}`;
}
