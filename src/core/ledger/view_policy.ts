/** Decides the next view of a data centre's ledger. */
import type { LedgerView } from "../views/mod.ts";

/** What the decision looks at. */
export interface ViewQuestion {
  /** Data centre. */
  readonly dataCentre: string;
  /** Current view; undefined before the first. */
  readonly view: LedgerView | undefined;
  /** Processes that gave a sign of life lately. */
  readonly present: readonly string[];
}

/**
 * Gets the next view, or undefined where the current one may stay.
 *
 * Only members of the current view may become primary: each holds every
 * record that was answered. A view whose members have all come back without
 * their state begins a new epoch; one whose members are merely away stays.
 *
 * @example
 * ```ts
 * nextView({ dataCentre: "nl-1", view, present: ["nl-1-b#1"] })?.primary;
 * ```
 */
export function nextView(question: ViewQuestion): LedgerView | undefined {
  const { dataCentre, view } = question;
  const present = [...question.present].sort();
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

/** Gets the instance of a process. */
export function instanceOfProcess(process: string): string {
  return process.split("#")[0];
}

function isReplaced(process: string, present: readonly string[]): boolean {
  const instance = instanceOfProcess(process);
  return present.some((other) => instanceOfProcess(other) === instance);
}
