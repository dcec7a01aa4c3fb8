/** Settings of one instance, as its JSON file gives them. */
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

const tls = z.strictObject({
  certFile: z.string(),
  keyFile: z.string(),
  /** Authority that signs the certificates of peers. */
  caFile: z.string().optional(),
});

const peer = z.strictObject({
  id,
  dataCentre: id,
  address,
  /** Whether it takes part in the control log. */
  control: z.boolean().default(false),
});

/** Schema of the settings of an instance. */
export const settingsSchema = z.strictObject({
  $schema: z.string().optional(),
  /** Identifier of the instance. */
  id,
  dataCentre: id,
  /** Where callers connect. */
  listen: address,
  /** Where other instances connect. */
  peerListen: address.optional(),
  /** Every instance of the system, this one included. */
  peers: z.array(peer).default([]),
  /** Folder for state that must survive; none on instances without a disk. */
  dataFolder: z.string().optional(),
  /** File that holds the secret that instances prove to each other. */
  peerSecretFile: z.string().optional(),
  /** File that holds the token of operators. */
  operatorTokenFile: z.string().optional(),
  /** File that holds the token of announcing targets. */
  targetTokenFile: z.string().optional(),
  /** File that holds the credential presented to targets. */
  targetCredentialFile: z.string().optional(),
  /** Content of the control log where it is empty. */
  bootstrap: z.strictObject({
    configurationFile: z.string(),
    /** File of key records; created by `keys create --offline`. */
    keysFile: z.string().optional(),
  }).optional(),
  tls: z.strictObject({
    callers: tls.optional(),
    peers: tls.optional(),
  }).default({}),
  /** Receivers of orders and of usage reports. */
  platform: z.strictObject({
    ordersUrl: z.url({ protocol: /^https?$/ }).optional(),
    usageUrl: z.url({ protocol: /^https?$/ }).optional(),
    /** File that holds the credential presented to them. */
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
    /** Time without an announcement after which a target is removed. */
    announceTtlMs: durationMs.default(15_000),
  }).prefault({}),
});

/** Checked settings of one instance. */
export type Settings = z.output<typeof settingsSchema>;
/** Address of a socket. */
export type Address = z.output<typeof address>;
/** Another instance. */
export type PeerSettings = Settings["peers"][number];
/** Certificate files of a listener. */
export type TlsSettings = z.output<typeof tls>;
