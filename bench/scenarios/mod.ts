/** Registry of the scenarios. */
import type { Scenario } from "../scenario.ts";
import {
  laggingLoad,
  noisyNeighbour,
  overload,
  prefixGroups,
  steady,
} from "./calls.ts";
import { diurnalCost } from "./cost.ts";
import {
  engineCrash,
  poison,
  reclaim,
  stragglers,
  weightSwap,
} from "./steps.ts";

/** All scenarios, by the name that the command line takes. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  steady,
  overload,
  "noisy-neighbour": noisyNeighbour,
  stragglers,
  "engine-crash": engineCrash,
  poison,
  "weight-swap": weightSwap,
  reclaim,
  "lagging-load": laggingLoad,
  "prefix-groups": prefixGroups,
  "diurnal-cost": diurnalCost,
};
