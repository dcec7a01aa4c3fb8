/** Settings of an instance of a fleet that finds itself by seeds. */
import * as z from "zod";
import { FleetRole } from "../core/fleet/fleet_member.ts";

const MS_PER_S = 1_000;
/** Part of the time to withdraw a key for which a policy is honoured. */
const LEASE_SHARE = 0.6;

const name = z.string().min(1).max(200);
const port = z.number().int().min(1).max(65_535);
const seconds = z.number().positive().transform((s) => s * MS_PER_S);
const milliseconds = z.number().positive();

const address = z.string().regex(/^[^:\s]+:\d+$/, "Expected HOST:PORT")
  .transform((text) => {
    const [host, port] = text.split(":");
    return { host, port: Number(port) };
  });
/** An empty text stands for no address. */
const optionalAddress = z.union([
  z.literal("").transform(() => undefined),
  address,
]).optional();

/** Schema of the settings; fields that it does not know are ignored. */
export const fleetSettingsSchema = z.object({
  /** Identity towards other instances: the address without a port. */
  id: z.ipv4(),
  /** Name by which operators know the machine. */
  name,
  dataCentre: name,
  role: z.enum(Object.values(FleetRole)),
  /** Port at which every instance is reached by the others. */
  peerPort: port,
  /** Port on which this one listens, where something forwards to it. */
  peerListenPort: port.optional(),
  /** Addresses of a few control instances; their ports are left aside. */
  seeds: z.array(address.transform(({ host }) => host)),
  /** Whether the whole fleet starts for the first time. */
  isFirstStart: z.boolean(),
  /** Machines with a disk whose loss at once is borne. */
  tolerance: z.number().int().min(0),
  /** Folder for what must survive; none on machines without a disk. */
  dataFolder: z.string().min(1).optional(),
  listen: z.object({
    /** Where callers connect. */
    callers: optionalAddress,
    /** Where the balancer asks whether the instance takes requests. */
    readiness: optionalAddress,
    /** Where operators and targets connect. */
    control: optionalAddress,
  }),
  /** Where metrics are read. */
  metrics: optionalAddress,
  /** Receiver of orders for targets and of usage reports. */
  receiver: z.object({
    address,
    /** Calls that it takes a second from all instances together. */
    callsPerS: z.number().positive(),
    /** What it is told: usage, orders for targets. */
    duties: z.array(z.string()),
  }).optional(),
  times: z.object({
    /** Time in which a withdrawn key must stop working. */
    revokeMs: milliseconds,
    /** Time between two reports of a target. */
    reportIntervalMs: milliseconds,
    /** Time from the order to stop until the process is killed. */
    graceS: seconds,
    /** Length of a window of usage. */
    usageWindowS: seconds,
    /** Time after the end of a window until its report is due. */
    usageDueS: seconds,
    /** Time for which results are kept after acceptance. */
    keepResultsS: seconds,
    /** Time after which something that is away may be given up. */
    contactMs: milliseconds,
  }).transform((times) => ({
    /** Time for which a confirmed policy is honoured. */
    policyLeaseMs: times.revokeMs * LEASE_SHARE,
    reportIntervalMs: times.reportIntervalMs,
    graceMs: times.graceS,
    usageWindowMs: times.usageWindowS,
    usageDueMs: times.usageDueS,
    keepResultsMs: times.keepResultsS,
    contactMs: times.contactMs,
  })),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Checked settings. */
export type FleetSettings = z.output<typeof fleetSettingsSchema>;
