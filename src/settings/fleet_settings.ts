/** Settings of an instance of a fleet whose members discover each other. */
import * as z from "zod";
import { FleetRole } from "../core/fleet/fleet_member.ts";

const MS_PER_S = 1_000;
/**
 * Fraction of `times.revokeMs`, the time within which a withdrawn key must stop
 * working, for which a confirmed policy is used.
 */
const POLICY_LEASE_FRACTION = 0.6;

const DEFAULT_ORDER_LEASE_MS = 3_000;

const name = z.string().min(1).max(200);
const port = z.number().int().min(1).max(65_535);
const secondsToMs = z.number().positive().transform((s) => s * MS_PER_S);
const milliseconds = z.number().positive();

const address = z.string().regex(/^[^:\s]+:\d+$/, "Expected HOST:PORT")
  .transform((text) => {
    const [host, port] = text.split(":");
    return { host, port: Number(port) };
  });
/** Schema of a limit of the machine; 0 or null means not known. */
const machineLimit = z.number().min(0).nullish()
  .transform((limit) => limit || undefined);
/** Schema of an optional table of regions; null or an empty one means none. */
const regions = z.record(name, name).nullable()
  .transform((table) =>
    Object.keys(table ?? {}).length === 0 ? undefined : table ?? undefined
  );
/** Schema of an optional address; null or an empty string means none. */
const optionalAddress = z.union([
  z.literal("").transform(() => undefined),
  address,
]).nullish().transform(dropNull);

/** Schema of the settings; unknown fields are ignored. */
export const fleetSettingsSchema = z.object({
  /** Identifier of the instance: its IPv4 address without a port. */
  id: z.ipv4(),
  /** Name of the machine, as operators use it. */
  name,
  dataCentre: name,
  /** Region of each data centre of the deployment. */
  regions: regions.optional(),
  role: z.enum(Object.values(FleetRole)),
  /** Port on which instances connect to each other. */
  peerPort: port,
  /** Port on which this instance listens if `peerPort` is forwarded to it. */
  peerListenPort: port.nullish().transform(dropNull),
  /** Addresses of some control instances; their ports are ignored. */
  seeds: z.array(address.transform(({ host }) => host)),
  /** Whether all instances of the fleet start for the first time. */
  isFirstStart: z.boolean(),
  /** Number of machines with a disk that may fail at the same time. */
  tolerance: z.number().int().min(0),
  /** Folder for persistent state; absent on machines without a disk. */
  dataFolder: z.string().nullish().transform((folder) => folder || undefined),
  listen: z.object({
    /** Address for callers. */
    callers: optionalAddress,
    /** Address for the readiness probes of the load balancer. */
    readiness: optionalAddress,
    /** Address for operators and targets. */
    control: optionalAddress,
  }),
  /** Address from which metrics are scraped. */
  metrics: optionalAddress,
  /** Limits of the machine; those that are not known are absent. */
  limits: z.object({
    /** Memory that the process may use. */
    memoryMb: machineLimit,
    /** Files and sockets that the process may have open. */
    maxDescriptors: machineLimit,
  }).nullish().transform((limits) =>
    limits ?? { memoryMb: undefined, maxDescriptors: undefined }
  ),
  /** Size of the disk that holds the data folder. */
  diskMb: machineLimit,
  /** Service that receives capacity orders and usage reports. */
  receiver: z.object({
    address,
    /** Requests per second that it accepts from all instances together. */
    callsPerS: z.number().positive(),
    /** Requests sent to it: `usage` for reports, `autoscale` for orders. */
    duties: z.array(z.string()),
  }).nullish().transform(dropNull),
  /** Orders that the control leader sends to targets and the receiver. */
  orders: z.object({
    /** Time within which two leaders must not take turns, in ms. */
    leaseMs: milliseconds.nullish().transform((ms) =>
      ms ?? DEFAULT_ORDER_LEASE_MS
    ),
    /** Whether recipients reject orders with an outdated fencing token. */
    areFencesChecked: z.boolean().nullish().transform((areChecked) =>
      areChecked ?? true
    ),
  }).prefault({}),
  times: z.object({
    /** Time within which a withdrawn key must stop working, in ms. */
    revokeMs: milliseconds,
    /** Interval between two heartbeats of a target, in milliseconds. */
    reportIntervalMs: milliseconds,
    /** Time from the stop signal until the process is killed, in seconds. */
    graceS: secondsToMs,
    /** Length of a usage window, in seconds. */
    usageWindowS: secondsToMs,
    /** Time from the end of a usage window until its report is due, in s. */
    usageDueS: secondsToMs,
    /** Time from the acceptance of a batch until its results expire, in s. */
    keepResultsS: secondsToMs,
    /** Time without contact until a peer may be considered lost, in ms. */
    contactMs: milliseconds,
  }).transform((times) => ({
    /** Time for which a confirmed policy is used, in milliseconds. */
    policyLeaseMs: times.revokeMs * POLICY_LEASE_FRACTION,
    reportIntervalMs: times.reportIntervalMs,
    graceMs: times.graceS,
    usageWindowMs: times.usageWindowS,
    usageDueMs: times.usageDueS,
    keepResultsMs: times.keepResultsS,
    contactMs: times.contactMs,
  })),
  logLevel: z.enum(["debug", "info", "warn", "error"]).nullish().transform((
    level,
  ) => level ?? "info"),
});

/** Validated settings of an instance of a fleet. */
export type FleetSettings = z.output<typeof fleetSettingsSchema>;

function dropNull<T>(value: T | null | undefined): T | undefined {
  return value ?? undefined;
}
