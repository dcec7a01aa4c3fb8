/** Calls that may not be repeated, by the caller's idempotency key. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { CallKey, StoredAnswer } from "./ledger_record.ts";

/** What is known of a call. */
export type CallState =
  | {
    readonly type: "running";
    readonly fingerprint: string;
    readonly owner: string;
  }
  | {
    readonly type: "finished";
    readonly fingerprint: string;
    readonly answer: StoredAnswer;
  }
  | { readonly type: "lost"; readonly fingerprint: string };

/** Serializable state of the calls. */
export interface CallLedgerState {
  readonly calls: readonly (readonly [string, CallState])[];
}

/** Finished calls remembered. */
const MAX_FINISHED = 20_000;

/**
 * Remembers each call from its start, so that it never starts twice.
 *
 * @example
 * ```ts
 * calls.start({ workspace: "artis", key: "k1" }, { fingerprint, owner });
 * calls.get({ workspace: "artis", key: "k1" })?.type; // "running"
 * ```
 */
export class CallLedger {
  readonly #calls = new Map<string, CallState>();

  /** Gets what is known of a call. */
  get(key: CallKey): CallState | undefined {
    return this.#calls.get(nameOf(key));
  }

  /** Records the start of a call. */
  start(key: CallKey, run: { fingerprint: string; owner: string }): this {
    assertInvariant(
      !this.#calls.has(nameOf(key)),
      Invariant.NonIdempotentAtMostOnce,
      `Call ${key.key} of ${key.workspace} was started before`,
    );
    this.#calls.set(nameOf(key), { type: "running", ...run });
    return this;
  }

  /** Records the answer of a call. */
  finish(key: CallKey, answer: StoredAnswer): this {
    const known = this.get(key);
    if (known?.type !== "running") return this;
    this.#calls.delete(nameOf(key));
    const { fingerprint } = known;
    this.#calls.set(nameOf(key), { type: "finished", fingerprint, answer });
    this.#forgetOldest();
    return this;
  }

  /** Records that a call has not run; it may be started anew. */
  clear(key: CallKey): this {
    if (this.get(key)?.type === "running") this.#calls.delete(nameOf(key));
    return this;
  }

  /** Records that a call may have run and will have no answer. */
  lose(key: CallKey): this {
    const known = this.get(key);
    if (known?.type !== "running") return this;
    const { fingerprint } = known;
    this.#calls.set(nameOf(key), { type: "lost", fingerprint });
    return this;
  }

  /** Gets the calls that run, with their owners. */
  running(): { readonly key: CallKey; readonly owner: string }[] {
    const running: { key: CallKey; owner: string }[] = [];
    for (const [name, call] of this.#calls) {
      if (call.type !== "running") continue;
      running.push({ key: keyOf(name), owner: call.owner });
    }
    return running;
  }

  /** Gets the serializable state. */
  save(): CallLedgerState {
    return { calls: [...this.#calls] };
  }

  /** Replaces the state by a saved one. */
  load(state: CallLedgerState): this {
    this.#calls.clear();
    for (const [name, call] of state.calls) this.#calls.set(name, call);
    return this;
  }

  #forgetOldest(): void {
    if (this.#calls.size <= MAX_FINISHED) return;
    for (const [name, call] of this.#calls) {
      if (call.type !== "finished") continue;
      this.#calls.delete(name);
      return;
    }
  }
}

function keyOf(name: string): CallKey {
  const at = name.indexOf("/");
  return { workspace: name.slice(0, at), key: name.slice(at + 1) };
}

function nameOf(key: CallKey): string {
  return `${key.workspace}/${key.key}`;
}
