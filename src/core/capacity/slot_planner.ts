/** Plans the number of targets of each data centre, by demand for slots. */

/** State of a data centre. */
export interface DataCentreState {
  readonly id: string;
  /** Price of a target per second. */
  readonly price: number;
  /** Number of targets that currently run there. */
  readonly present: number;
  /** Whether the platform recently refused to start more targets there. */
  readonly isExhausted: boolean;
  /** Whether nothing is sent to the targets there. */
  readonly isEvacuated: boolean;
}

/** Input of {@link planSlots}. */
export interface SlotPlanInput {
  /** Mean number of items that ran or waited, over some seconds. */
  readonly meanItems: number;
  /** Sum of the peak numbers of items of the models. */
  readonly peakItems: number;
  /** Number of slots of a target. */
  readonly slots: number;
  /** Data centres that can run targets. */
  readonly zones: readonly DataCentreState[];
  /** Minimum number of targets of a data centre. */
  readonly min: number;
  /** Maximum number of targets of a data centre. */
  readonly max: number;
}

/** Minimum slots per mean item, as bursts differ in size. */
const MIN_HEADROOM = 2;
/** Maximum slots per mean item, so a backlog does not count as a burst. */
const MAX_HEADROOM = 4;
/**
 * Increase of the effective price for each target already planned in a data
 * centre, as a fraction of the price.
 */
const SPREAD_PENALTY = 0.25;

/**
 * Plans the number of targets of each data centre.
 *
 * An item that waits for a slot delays its group, and with it the step that
 * the caller waits for, so slots are planned for all items of a burst. Targets
 * are spread over data centres, because one may fail, and cheaper data centres
 * get more. What an evacuated data centre would have is planned elsewhere; it
 * gets no number itself, so its targets stay as they are.
 *
 * @example
 * ```ts
 * const demand = { meanItems: 30, peakItems: 90 };
 * planSlots({ ...demand, slots: 8, zones, min: 1, max: 6 }).get("a");
 * ```
 */
export function planSlots(input: SlotPlanInput): Map<string, number> {
  const { slots, min, max } = input;
  const zones = input.zones.filter(({ isEvacuated }) => !isEvacuated);
  const counts = new Map(zones.map((zone) => [zone.id, min] as const));
  const needed = Math.max(
    Math.ceil(neededSlots(input) / Math.max(1, slots)),
    min * input.zones.length,
  );
  let remaining = needed - min * zones.length;
  while (remaining > 0) {
    const open = zones.filter((zone) => {
      const limit = zone.isExhausted ? Math.min(max, zone.present) : max;
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
  const minSlots = meanItems * MIN_HEADROOM;
  const maxSlots = meanItems * MAX_HEADROOM;
  return Math.max(minSlots, Math.min(peakItems, maxSlots));
}
