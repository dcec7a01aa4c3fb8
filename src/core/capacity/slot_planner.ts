/** Decides how many targets each data centre is to run, by slots in demand. */

/** A data centre, as the decision sees it. */
export interface DataCentreState {
  readonly id: string;
  /** Price of a target, a second. */
  readonly price: number;
  /** Targets that run there now. */
  readonly present: number;
  /** Whether more were refused there lately. */
  readonly isDry: boolean;
}

/** What the decision looks at. */
export interface SlotPlanInput {
  /** Items that ran or waited at a time, as a mean over some seconds. */
  readonly meanItems: number;
  /** Most items at a time: the sum over the models, each at its own time. */
  readonly peakItems: number;
  /** Items that a target runs at once. */
  readonly slots: number;
  readonly zones: readonly DataCentreState[];
  /** Fewest and most targets of a data centre. */
  readonly min: number;
  readonly max: number;
}

/** Slots for each item of the mean, at least: waves differ in height. */
const MIN_HEADROOM = 2;
/** Slots for each item of the mean, at most: a backlog is no wave. */
const MAX_HEADROOM = 4;
/** Part of the price by which one more target in a data centre is dearer. */
const SPREAD_PENALTY = 0.25;

/**
 * Gets the targets of each data centre.
 *
 * An item that waits for a slot makes its whole group late, and with it the
 * step that its caller waits for, so the items of a whole wave have slots at
 * once. Targets are spread, for a data centre may be lost, and the cheaper
 * data centres get more.
 *
 * @example
 * ```ts
 * const demand = { meanItems: 30, peakItems: 90 };
 * planSlots({ ...demand, slots: 8, zones, min: 1, max: 6 }).get("a");
 * ```
 */
export function planSlots(input: SlotPlanInput): Map<string, number> {
  const { slots, zones, min, max } = input;
  const counts = new Map(zones.map((zone) => [zone.id, min] as const));
  const needed = Math.ceil(neededSlots(input) / Math.max(1, slots));
  let remaining = needed - min * zones.length;
  while (remaining > 0) {
    const open = zones.filter((zone) => {
      const limit = zone.isDry ? Math.min(max, zone.present) : max;
      return (counts.get(zone.id) ?? 0) < limit;
    });
    if (open.length === 0) return counts;
    const costOf = ({ id, price }: DataCentreState) =>
      price * (1 + SPREAD_PENALTY * (counts.get(id) ?? 0));
    const cheapest = open.sort((a, b) => costOf(a) - costOf(b))[0];
    counts.set(cheapest.id, (counts.get(cheapest.id) ?? 0) + 1);
    remaining -= 1;
  }
  return counts;
}

function neededSlots({ meanItems, peakItems }: SlotPlanInput): number {
  const least = meanItems * MIN_HEADROOM;
  const most = meanItems * MAX_HEADROOM;
  return Math.max(least, Math.min(peakItems, most));
}
