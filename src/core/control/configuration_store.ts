/** Configuration with optimistic concurrency control by section. */
import {
  checkDocument,
  type ConfigurationDocument,
  type Fault,
  type SectionName,
} from "../configuration/mod.ts";
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import { digestOf } from "./section_digest.ts";

/** A change of one or more sections. */
export interface ConfigurationChange {
  /**
   * Identifier chosen by the operator. It stays the same when the change is
   * resent.
   */
  readonly requestId: string;
  /**
   * Team that submits the change; undefined for an operator with access to all
   * sections.
   */
  readonly team?: string;
  /** New content of each changed section. */
  readonly sections: Partial<Record<SectionName, unknown>>;
  /** Revision of each changed section that the change is based on. */
  readonly base: Partial<Record<SectionName, number>>;
}

/** A section that has changed since the revision the change is based on. */
export interface SectionConflict {
  /** Name of the section. */
  readonly section: SectionName;
  /**
   * Members whose values differ between the current and the proposed section.
   */
  readonly fields: readonly string[];
  /** Revision that the change is based on. */
  readonly base: number;
  /** Current revision of the section. */
  readonly current: number;
  /** Request identifier of the change that set the current revision. */
  readonly winner: string;
}

/** Result of a change. */
export type ChangeResult =
  | { readonly type: "applied"; readonly revision: number }
  | { readonly type: "invalid"; readonly faults: readonly Fault[] }
  | {
    readonly type: "conflict";
    readonly conflicts: readonly SectionConflict[];
  }
  | { readonly type: "forbidden"; readonly sections: readonly SectionName[] }
  | { readonly type: "requestIdReused"; readonly requestId: string };

/** Revision and author of a section. */
export interface SectionState {
  /** Revision of the last change to the section. */
  readonly revision: number;
  /** Request identifier of that change. */
  readonly requestId: string;
}

interface CachedAnswer {
  readonly requestId: string;
  readonly digest: string;
  readonly answer: ChangeResult;
}

/** Serializable state of the store. */
export interface ConfigurationStoreState {
  readonly revision: number;
  readonly document: ConfigurationDocument;
  readonly sections: Partial<Record<SectionName, SectionState>>;
  readonly answers: readonly CachedAnswer[];
}

/** Number of applied changes whose results are retained for resends. */
const MAX_ANSWERS = 4_096;

/**
 * Applies configuration changes one at a time. If an applied change is resent,
 * also under another request identifier, it gets its first result again.
 *
 * @example
 * ```ts
 * const store = new ConfigurationStore();
 * store.apply({ requestId: "r1", sections: { models: { m: {} } },
 *   base: { models: 0 } }); // { type: "applied", revision: 1 }
 * ```
 */
export class ConfigurationStore {
  #revision = 0;
  #document: ConfigurationDocument = emptyDocument();
  #sections = new Map<SectionName, SectionState>();
  #answers = new Map<string, CachedAnswer>();
  #answersByDigest = new Map<string, CachedAnswer>();

  /** Gets the current revision. */
  get revision(): number {
    return this.#revision;
  }

  /** Gets the current document. */
  get document(): ConfigurationDocument {
    return this.#document;
  }

  /**
   * Gets the revision of the last change to a section; 0 if it never changed.
   */
  revisionOf(section: SectionName): number {
    return this.#sections.get(section)?.revision ?? 0;
  }

  /**
   * Applies a change completely, or returns the reason for which nothing was
   * changed.
   */
  apply(change: ConfigurationChange): ChangeResult {
    const digest = digestOf({ sections: change.sections, base: change.base });
    const cached = this.#answers.get(change.requestId);
    if (cached !== undefined) {
      if (cached.digest === digest) return cached.answer;
      return { type: "requestIdReused", requestId: change.requestId };
    }
    const answer = this.#answersByDigest.get(digest)?.answer ??
      this.#applyNew(change);
    if (answer.type === "applied") {
      this.#cacheAnswer({ requestId: change.requestId, digest, answer });
    }
    return answer;
  }

  save(): ConfigurationStoreState {
    return {
      revision: this.#revision,
      document: this.#document,
      sections: Object.fromEntries(this.#sections),
      answers: [...this.#answers.values()],
    };
  }

  /**
   * Replaces the state with a saved one.
   *
   * @throws InvariantError if the saved revision is older than the current one.
   */
  load(state: ConfigurationStoreState): this {
    assertInvariant(
      state.revision >= this.#revision,
      Invariant.ConfigurationForward,
      `Cannot load revision ${state.revision} over revision ${this.#revision}`,
    );
    this.#revision = state.revision;
    this.#document = state.document;
    this.#sections = new Map(
      Object.entries(state.sections) as [SectionName, SectionState][],
    );
    this.#answers = new Map();
    this.#answersByDigest = new Map();
    for (const answer of state.answers) this.#cacheAnswer(answer);
    return this;
  }

  #applyNew(change: ConfigurationChange): ChangeResult {
    const names = Object.keys(change.sections) as SectionName[];
    const forbidden = this.#forbiddenSections(change.team, names);
    if (forbidden.length > 0) return { type: "forbidden", sections: forbidden };
    const conflicts = this.#conflictsOf(change, names);
    if (conflicts.length > 0) return { type: "conflict", conflicts };
    const checked = checkDocument({ ...this.#document, ...change.sections });
    if (!checked.ok) return { type: "invalid", faults: checked.faults };
    this.#revision += 1;
    this.#document = checked.value;
    const state = { revision: this.#revision, requestId: change.requestId };
    for (const name of names) this.#sections.set(name, state);
    return { type: "applied", revision: this.#revision };
  }

  #forbiddenSections(
    team: string | undefined,
    names: readonly SectionName[],
  ): SectionName[] {
    if (team === undefined) return [];
    const own = this.#document.teams[team]?.sections ?? [];
    return names.filter((name) => !own.includes(name));
  }

  #conflictsOf(
    change: ConfigurationChange,
    names: readonly SectionName[],
  ): SectionConflict[] {
    const conflicts: SectionConflict[] = [];
    for (const section of names) {
      const current = this.revisionOf(section);
      const base = change.base[section] ?? 0;
      if (base === current) continue;
      conflicts.push({
        section,
        fields: differingFields(
          this.#document[section],
          change.sections[section],
        ),
        base,
        current,
        winner: this.#sections.get(section)?.requestId ?? "",
      });
    }
    return conflicts;
  }

  #cacheAnswer(answer: CachedAnswer): void {
    this.#answers.set(answer.requestId, answer);
    this.#answersByDigest.set(answer.digest, answer);
    if (this.#answers.size <= MAX_ANSWERS) return;
    const oldest = this.#answers.values().next().value;
    if (oldest === undefined) return;
    this.#answers.delete(oldest.requestId);
    this.#answersByDigest.delete(oldest.digest);
  }
}

/** Creates the document that applies before the first change. */
export function emptyDocument(): ConfigurationDocument {
  const checked = checkDocument({});
  if (!checked.ok) throw new Error("Expected an empty document to be valid");
  return checked.value;
}

function differingFields(current: unknown, proposed: unknown): string[] {
  const currentRecord = asRecord(current);
  const proposedRecord = asRecord(proposed);
  const names = new Set([
    ...Object.keys(currentRecord),
    ...Object.keys(proposedRecord),
  ]);
  return [...names]
    .filter((name) =>
      digestOf(currentRecord[name]) !== digestOf(proposedRecord[name])
    )
    .sort();
}

function asRecord(value: unknown): Record<string, unknown> {
  const isObject = value !== null && typeof value === "object";
  return isObject ? value as Record<string, unknown> : {};
}
