/** Size that the system must support, and its resource limits. */

/** Required sizes and rates of the system. */
export const TARGET_SIZE = {
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

/** Required limits. */
export const LIMITS = {
  /** Maximum CPU time of an instance for control, as a fraction of a core. */
  controlCoreShare: 0.024,
  /** Maximum memory of an instance for control, in mebibytes. */
  controlMebibytes: 256,
  /** Maximum bytes per second that an instance sends for control. */
  controlBytesPerSecond: 7_000,
  /** Maximum number of instances dedicated to control. */
  controlInstances: 24,
  /** Maximum time until a change is in force everywhere, in milliseconds. */
  changeInForceMs: 5_000,
  /** Maximum time until all targets of a model have new weights, in seconds. */
  weightsSeconds: 14,
  /** Maximum time to complete all samples of a step, in seconds. */
  stepSeconds: 240,
} as const;

/** Average sizes of one data centre. */
export const PER_DATA_CENTRE = {
  instances: TARGET_SIZE.instances / TARGET_SIZE.dataCentres,
  replicas: TARGET_SIZE.replicas / TARGET_SIZE.dataCentres,
} as const;
