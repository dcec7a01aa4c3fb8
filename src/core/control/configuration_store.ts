/** The configuration and its revisions: changes by section, with conflicts. */
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
  /** Identifier chosen by the operator, the same when it is sent again. */
  readonly requestId: string;
  /** Team that sends it; undefined for an operator of all sections. */
  readonly team?: string;
  /** New content of each changed section. */
  readonly sections: Partial<Record<SectionName, unknown>>;
  /** Revision of each changed section on which the change is based. */
  readonly base: Partial<Record<SectionName, number>>;
}

/** A section that another change has overtaken. */
export interface SectionConflict {
  /** Name of the section. */
  readonly section: SectionName;
  /** Members of the section that differ from the winner's. */
  readonly fields: readonly string[];
  /** Revision on which the change was based. */
  readonly base: number;
  /** Revision that holds now. */
  readonly current: number;
  /** Request identifier of the change that won. */
  readonly winner: string;
}

/** Answer to a change. */
export type ChangeAnswer =
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
  /** Revision at which the section changed last. */
  readonly revision: number;
  /** Request identifier of that change. */
  readonly requestId: string;
}

interface RememberedAnswer {
  readonly requestId: string;
  readonly digest: string;
  readonly answer: ChangeAnswer;
}

/** Serializable state of the store. */
export interface ConfigurationStoreState {
  readonly revision: number;
  readonly document: ConfigurationDocument;
  readonly sections: Partial<Record<SectionName, SectionState>>;
  readonly answers: readonly RememberedAnswer[];
}

/** Answers remembered for changes that are sent again. */
const MAX_ANSWERS = 4_096;

/**
 * Applies changes to the configuration in one order.
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
  #answers = new Map<string, RememberedAnswer>();
  #byDigest = new Map<string, RememberedAnswer>();

  /** Gets the current revision. */
  get revision(): number {
    return this.#revision;
  }

  /** Gets the current document. */
  get document(): ConfigurationDocument {
    return this.#document;
  }

  /** Gets the revision of a section. */
  revisionOf(section: SectionName): number {
    return this.#sections.get(section)?.revision ?? 0;
  }

  /** Applies a change, or answers why it is not applied. */
  apply(change: ConfigurationChange): ChangeAnswer {
    const digest = digestOf({ sections: change.sections, base: change.base });
    const known = this.#answers.get(change.requestId);
    if (known !== undefined) {
      if (known.digest === digest) return known.answer;
      return { type: "requestIdReused", requestId: change.requestId };
    }
    const answer = this.#byDigest.get(digest)?.answer ?? this.#decide(change);
    if (answer.type === "applied") {
      this.#remember({ requestId: change.requestId, digest, answer });
    }
    return answer;
  }

  /** Gets the serializable state. */
  save(): ConfigurationStoreState {
    return {
      revision: this.#revision,
      document: this.#document,
      sections: Object.fromEntries(this.#sections),
      answers: [...this.#answers.values()],
    };
  }

  /** Replaces the state by a saved one that is not older. */
  load(state: ConfigurationStoreState): this {
    assertInvariant(
      state.revision >= this.#revision,
      Invariant.ConfigurationForward,
      `Revision ${state.revision} after ${this.#revision}`,
    );
    this.#revision = state.revision;
    this.#document = state.document;
    this.#sections = new Map(
      Object.entries(state.sections) as [SectionName, SectionState][],
    );
    this.#answers = new Map();
    this.#byDigest = new Map();
    for (const answer of state.answers) this.#remember(answer);
    return this;
  }

  #decide(change: ConfigurationChange): ChangeAnswer {
    const names = Object.keys(change.sections) as SectionName[];
    const foreign = this.#foreignSections(change.team, names);
    if (foreign.length > 0) return { type: "forbidden", sections: foreign };
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

  #foreignSections(
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

  #remember(answer: RememberedAnswer): void {
    this.#answers.set(answer.requestId, answer);
    this.#byDigest.set(answer.digest, answer);
    if (this.#answers.size <= MAX_ANSWERS) return;
    const oldest = this.#answers.values().next().value;
    if (oldest === undefined) return;
    this.#answers.delete(oldest.requestId);
    this.#byDigest.delete(oldest.digest);
  }
}

/** Gets the document that holds before the first change. */
export function emptyDocument(): ConfigurationDocument {
  const checked = checkDocument({});
  if (!checked.ok) throw new Error("Expected the empty document to be valid");
  return checked.value;
}

function differingFields(current: unknown, proposed: unknown): string[] {
  const left = asRecord(current);
  const right = asRecord(proposed);
  const names = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...names]
    .filter((name) => digestOf(left[name]) !== digestOf(right[name]))
    .sort();
}

function asRecord(value: unknown): Record<string, unknown> {
  const isObject = value !== null && typeof value === "object";
  return isObject ? value as Record<string, unknown> : {};
}
