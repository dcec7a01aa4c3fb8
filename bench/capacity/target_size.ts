/** The size that the system is to carry, and its limits. */

/** Sizes asked for. */
export const TARGET = {
  instances: 420,
  replicas: 2_300,
  accelerators: 9_400,
  dataCentres: 14,
  regions: 6,
  requestsPerSecond: 4_800,
  tokensPerSecond: 1_700_000,
  trainers: 7,
  samplesPerStep: 2_048,
  stepSeconds: 240,
  changesPerDay: 1_500,
  failuresPerDay: 38,
  restartsPerDay: 400,
} as const;

/** Limits asked for. */
export const LIMITS = {
  /** Part of a core that an instance may spend on control. */
  controlCore: 0.024,
  /** Memory that an instance may spend on control, in mebibytes. */
  controlMebibytes: 256,
  /** Bytes a second that an instance may spend on control. */
  controlBytes: 7_000,
  /** Instances that may be set aside for control. */
  controlInstances: 24,
  /** Time until a change is in force everywhere, in milliseconds. */
  forceMs: 5_000,
  /** Time until new weights are on all replicas, in seconds. */
  weightsSeconds: 14,
  /** Time in which the samples of a step are whole, in seconds. */
  stepSeconds: 240,
} as const;

/** Sizes in one data centre. */
export const PER_DATA_CENTRE = {
  instances: TARGET.instances / TARGET.dataCentres,
  replicas: TARGET.replicas / TARGET.dataCentres,
} as const;
