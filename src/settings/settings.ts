/** Settings of an instance, as read from its JSON file. */
import * as z from "zod";

const id = z.string().regex(
  /^[a-z0-9][a-z0-9.-]*$/,
  "Expected lower case letters, digits, hyphens and dots",
).max(64);
const host = z.union([z.ipv4(), z.ipv6()], { error: "Expected an IP number" });
const port = z.number().int().min(0).max(65_535);
const address = z.strictObject({ host, port });
const durationMs = z.number().int().min(1);
const MEBIBYTE = 1_048_576;

const tlsSchema = z.strictObject({
  certFile: z.string(),
  keyFile: z.string(),
  /** Certificate authority that must have signed the peers' certificates. */
  caFile: z.string().optional(),
});

const peerSchema = z.strictObject({
  id,
  dataCentre: id,
  address,
  /** Whether this instance holds a replica of the control log. */
  control: z.boolean().default(false),
});

/** Schema of the settings of an instance. */
export const settingsSchema = z.strictObject({
  $schema: z.string().optional(),
  id,
  dataCentre: id,
  /** Address on which the instance listens for callers. */
  listen: address,
  /** Address on which the instance listens for other instances. */
  peerListen: address.optional(),
  /** All instances of the system, including this one. */
  peers: z.array(peerSchema).default([]),
  /** Folder for persistent state; absent on instances without a disk. */
  dataFolder: z.string().optional(),
  /** File with the secret by which instances authenticate each other. */
  peerSecretFile: z.string().optional(),
  /** File with the bearer token of operators. */
  operatorTokenFile: z.string().optional(),
  /** File with the bearer token that targets need to announce themselves. */
  targetTokenFile: z.string().optional(),
  /** File with the credential sent to targets. */
  targetCredentialFile: z.string().optional(),
  /** Initial content of the control log, used if the log is empty. */
  bootstrap: z.strictObject({
    configurationFile: z.string(),
    /** File with key records, as `keys create --offline` writes it. */
    keysFile: z.string().optional(),
  }).optional(),
  tls: z.strictObject({
    callers: tlsSchema.optional(),
    peers: tlsSchema.optional(),
  }).default({}),
  /** Endpoints that receive orders and usage reports. */
  platform: z.strictObject({
    ordersUrl: z.url({ protocol: /^https?$/ }).optional(),
    usageUrl: z.url({ protocol: /^https?$/ }).optional(),
    /** File with the credential sent to these endpoints. */
    credentialFile: z.string().optional(),
  }).optional(),
  metrics: address.optional(),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
  http: z.strictObject({
    maxBodyBytes: z.number().int().positive().default(MEBIBYTE),
    maxAnswerBytes: z.number().int().positive().default(64 * MEBIBYTE),
    maxConnections: z.number().int().positive().default(20_000),
    headersTimeoutMs: durationMs.default(10_000),
    bodyTimeoutMs: durationMs.default(30_000),
    drainTimeoutMs: durationMs.default(120_000),
  }).prefault({}),
  targets: z.strictObject({
    probeIntervalMs: durationMs.default(1_000),
    probeTimeoutMs: durationMs.default(500),
    /** Time without an announcement until a target is removed, in ms. */
    announceTtlMs: durationMs.default(15_000),
  }).prefault({}),
});

/** Validated settings of an instance. */
export type Settings = z.output<typeof settingsSchema>;
/** Host and port of a socket. */
export type Address = z.output<typeof address>;
/** Settings of one of the instances in `peers`. */
export type PeerSettings = Settings["peers"][number];
/** Certificate files of a TLS listener. */
export type TlsSettings = z.output<typeof tlsSchema>;
