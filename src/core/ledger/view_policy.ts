/** Decides on view changes of a data centre's ledger. */
import type { LedgerView } from "../views/mod.ts";

/** Input of {@link nextView}. */
export interface ViewInput {
  readonly dataCentre: string;
  /** Current view; undefined before the first one. */
  readonly view: LedgerView | undefined;
  /** Processes that sent a heartbeat recently. */
  readonly present: readonly string[];
}

/**
 * Gets the next view, or undefined if the current one remains valid.
 *
 * Only a member of the current view may become primary, since each member holds
 * every acknowledged record. If none of them is present, the view stays until
 * each has been replaced by an incarnation without its state; then a new epoch
 * begins with an empty ledger.
 *
 * @example
 * ```ts
 * nextView({ dataCentre: "nl-1", view, present: ["nl-1-b#1"] })?.primary;
 * ```
 */
export function nextView(input: ViewInput): LedgerView | undefined {
  const { dataCentre, view } = input;
  const present = [...input.present].sort();
  if (present.length === 0) return undefined;
  if (view === undefined) {
    const [primary] = present;
    return { dataCentre, number: 1, primary, backups: [], epoch: 0 };
  }
  const members = [view.primary, ...view.backups];
  const alive = members.filter((member) => present.includes(member));
  if (alive.length === members.length) return undefined;
  const number = view.number + 1;
  if (alive.length === 0) {
    if (!members.every((member) => isReplaced(member, present))) {
      return undefined;
    }
    const [primary] = present;
    const epoch = view.epoch + 1;
    return { dataCentre, number, primary, backups: [], epoch };
  }
  const [primary, ...backups] = alive;
  return { dataCentre, number, primary, backups, epoch: view.epoch };
}

/** Gets the instance that a process runs on. */
export function instanceOfProcess(process: string): string {
  return process.split("#")[0];
}

function isReplaced(process: string, present: readonly string[]): boolean {
  const instance = instanceOfProcess(process);
  return present.some((other) => instanceOfProcess(other) === instance);
}
