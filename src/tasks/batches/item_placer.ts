/** Chooses the target of an item from what is known of all of them. */
import {
  type BatchItem,
  type ItemBook,
  type LoadBook,
  placeItem,
  type PlacementTarget,
  type RunText,
  type TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import type {
  RegisteredTarget,
  TargetRegistry,
} from "../../core/registry/mod.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link ItemPlacer}. */
export interface ItemPlacerOptions {
  readonly registry: TargetRegistry;
  readonly runs: RunTable;
  readonly book: ItemBook;
  readonly pace: TargetPace;
  readonly loads: LoadBook;
  /** Data centre of this instance. */
  readonly dataCentre: string;
}

/** What the choice depends on besides what is known of the targets. */
export interface ItemChoice {
  /** Text of the item so far. */
  readonly text: RunText;
  /** Runs of each target, with those that are being placed. */
  readonly counts: ReadonlyMap<string, number>;
  readonly now: number;
}

/** Chooses targets. */
export class ItemPlacer {
  readonly #options: ItemPlacerOptions;

  /** Creates a placer. */
  constructor(options: ItemPlacerOptions) {
    this.#options = options;
  }

  /** Gets the target for an item; undefined where it is to wait. */
  choose(
    { record, item }: WaitingItem,
    choice: ItemChoice,
  ): PlacementTarget | undefined {
    const { registry, runs, book, dataCentre } = this.#options;
    const { minVersion, isSingleVersion, service } = record.spec;
    return placeItem({
      targets: registry.readyOf(service)
        .map((target) => this.#viewOf(target, item, choice)),
      minVersion,
      versions: choice.text.versions,
      isSingleVersion,
      excluded: book.excludedOf(item),
      warm: runs.targetsOfGroup(record, item),
      dataCentre,
    });
  }

  #viewOf(
    { report }: RegisteredTarget,
    item: BatchItem,
    { counts, now }: ItemChoice,
  ): PlacementTarget {
    const { pace, loads } = this.#options;
    return {
      id: report.id,
      dataCentre: report.dataCentre,
      slots: report.slots,
      inFlight: counts.get(report.id) ?? 0,
      version: report.versions[item.model],
      paceMs: pace.paceMs(report.id, now),
      isSlow: pace.isSlow(report.id, now),
      isAvoided: pace.isAvoided(report.id, now) ||
        loads.isLoading(report, item.model, now),
    };
  }
}
