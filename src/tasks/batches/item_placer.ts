/** Chooses the targets of items from what is known of all of them. */
import {
  type ItemBook,
  type LoadBook,
  placeItem,
  type PlacementTarget,
  type RunText,
  type TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import type { TargetRegistry } from "../../core/registry/mod.ts";
import type { RunTable } from "./run_table.ts";

/** What a choice relies on. */
export interface ItemPlacerOptions {
  readonly registry: TargetRegistry;
  readonly runs: RunTable;
  readonly book: ItemBook;
  readonly pace: TargetPace;
  readonly loads: LoadBook;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Time of the choices. */
  readonly now: number;
}

type TargetView = PlacementTarget & { inFlight: number };

/** Chooses targets in one round; what is known of them is gathered once. */
export class ItemPlacer {
  readonly #options: ItemPlacerOptions;
  readonly #counts: Map<string, number>;
  /** Targets by service and model. */
  readonly #views = new Map<string, TargetView[]>();
  /** Services, models and versions for which no target has room. */
  readonly #full = new Set<string>();

  /** Creates a placer for the runs and targets as they are now. */
  constructor(options: ItemPlacerOptions) {
    this.#options = options;
    this.#counts = options.runs.countByTarget();
  }

  /** Gets whether no target has room for an item, whatever its text. */
  isFull(waiting: WaitingItem): boolean {
    return this.#full.has(demandOf(waiting));
  }

  /** Gets the target for an item; undefined where it is to wait. */
  choose(waiting: WaitingItem, text: RunText): PlacementTarget | undefined {
    if (this.isFull(waiting)) return undefined;
    const { record, item } = waiting;
    const { runs, book, dataCentre } = this.#options;
    const { minVersion, isSingleVersion, service } = record.spec;
    const chosen = placeItem({
      targets: this.#viewsOf(service, item.model),
      minVersion,
      versions: text.versions,
      isSingleVersion,
      excluded: book.excludedOf(item),
      warm: runs.targetsOfGroup(record, item),
      dataCentre,
    });
    const isBound = isSingleVersion && text.versions.length > 0;
    if (chosen === undefined && !isBound) this.#full.add(demandOf(waiting));
    return chosen;
  }

  /** Takes a slot of a target. */
  take(target: string): this {
    const count = (this.#counts.get(target) ?? 0) + 1;
    this.#counts.set(target, count);
    for (const views of this.#views.values()) {
      const view = views.find(({ id }) => id === target);
      if (view !== undefined) view.inFlight = count;
    }
    return this;
  }

  #viewsOf(service: string, model: string): TargetView[] {
    const key = `${service}/${model}`;
    let views = this.#views.get(key);
    if (views !== undefined) return views;
    const { registry, pace, loads, now } = this.#options;
    views = registry.readyOf(service).map(({ report }) => ({
      id: report.id,
      dataCentre: report.dataCentre,
      slots: report.slots,
      inFlight: this.#counts.get(report.id) ?? 0,
      version: report.versions[model],
      paceMs: pace.paceMs(report.id, now),
      isSlow: pace.isSlow(report.id, now),
      isAvoided: pace.isAvoided(report.id, now) ||
        loads.isLoading(report, model, now),
    }));
    this.#views.set(key, views);
    return views;
  }
}

/** Items of the same service, model and version fit the same targets. */
function demandOf({ record, item }: WaitingItem): string {
  const { service, minVersion } = record.spec;
  return `${service}/${item.model}/${minVersion}`;
}
