/** Lookups in the policy that is in force at the time. */
import type { PolicyDocument, ServicePolicy } from "./policy_document.ts";
import { PolicyView } from "./policy_view.ts";

/**
 * Finds services in the current policy. Its lookup tables are built once for
 * each document, on the first lookup.
 *
 * @example
 * ```ts
 * const current = new CurrentPolicy(() => state.policy);
 * current.getService("engines");
 * ```
 */
export class CurrentPolicy {
  readonly #getDocument: () => PolicyDocument | undefined;
  #view: PolicyView | undefined;

  /** @param getDocument - Gets the document in force; undefined without one. */
  constructor(getDocument: () => PolicyDocument | undefined) {
    this.#getDocument = getDocument;
  }

  /** Gets a service; undefined if the policy has none of that name. */
  getService(name: string): ServicePolicy | undefined {
    const document = this.#getDocument();
    if (this.#view?.document !== document) {
      this.#view = document === undefined
        ? undefined
        : new PolicyView(document);
    }
    return this.#view?.getService(name);
  }
}
