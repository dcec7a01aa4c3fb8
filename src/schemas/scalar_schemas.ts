/** Schemas of addresses, counts, times and versions. */
import * as z from "zod";

const MAX_PORT = 65_535;
const MAX_NAME_LENGTH = 256;
const MAX_COUNT = 2_147_483_647;
/** A target serves each slot on a connection, which has a port of its own. */
const MAX_SLOTS = MAX_PORT;
const MAX_SEQUENCE = Number.MAX_SAFE_INTEGER;
/** Longest delay of a timer. */
const MAX_DURATION_MS = 2_147_483_647;
const MAX_COLD_MS = 86_400_000;
/** Clocks of machines differ by less. */
const MAX_CLOCK_DIFFERENCE_MS = 600_000;
const MAX_QUANTITY = 1e9;
/** A limit below it would stop a target for hours. */
const MIN_LIMIT_PER_S = 1e-4;

const OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
const ADDRESS = new RegExp(`^(?:${OCTET}\\.){3}${OCTET}:([1-9]\\d{0,4})$`);

/** Schema of the identifier of an instance: its IPv4 address. */
export const instanceIdSchema = z.ipv4();

/** Schema of a TCP port to connect to. */
export const portSchema = z.int().min(1).max(MAX_PORT);

/**
 * Schema of the address of a target: an IPv4 address and a port.
 *
 * @example
 * ```ts
 * addressSchema.safeParse("10.1.2.3:99999").success; // false
 * ```
 */
export const addressSchema = z.string().refine(
  isAddress,
  "Expected an IPv4 address with a port from 1 to 65535",
);

function isAddress(text: string): boolean {
  const port = ADDRESS.exec(text)?.[1];
  return port !== undefined && Number(port) <= MAX_PORT;
}

/** Schema of an endpoint: an IP address or host name, and a port. */
export const endpointSchema = z.string().max(MAX_NAME_LENGTH).refine(
  isEndpoint,
  "Expected a host with a port from 1 to 65535",
);

function isEndpoint(text: string): boolean {
  const [, host, port] = /^(.+):([1-9]\d*)$/.exec(text) ?? [];
  if (!portSchema.safeParse(Number(port)).success) return false;
  if (/^[\d.]+$/.test(host)) return instanceIdSchema.safeParse(host).success;
  const [, inBrackets] = /^\[(.*)\]$/.exec(host) ?? [];
  if (inBrackets !== undefined) return z.ipv6().safeParse(inBrackets).success;
  return z.hostname().safeParse(host).success;
}

/** Schema of the name of a service, data centre, model or workspace. */
export const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** Schema of an identifier that is sent in headers. */
export const identifierSchema = nameSchema
  .regex(/^[\x21-\x7e]+$/, "Expected visible ASCII characters");

/** Schema of the path of a request. */
export const pathSchema = z.string()
  .regex(/^\/[\x21-\xff]*$/, "Expected a path without spaces");

/** Schema of the headers of a request, by name. */
export const headersSchema = z.record(
  z.string().regex(/^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/, "Expected a header name"),
  z.string().regex(/^[\t\x20-\x7e\x80-\xff]*$/, "Expected one header value"),
);

/** Schema of a number of things. */
export const countSchema = z.int().min(0).max(MAX_COUNT);

/** Schema of the number of requests that a target runs at the same time. */
export const slotsSchema = z.int().min(1).max(MAX_SLOTS);

/** Schema of the number of a report. */
export const sequenceSchema = z.number().min(0).max(MAX_SEQUENCE);

/**
 * Gets whether a target can have numbered a report so since its start: it sends
 * at most one in a millisecond.
 *
 * @example
 * ```ts
 * isSequenceReached(1e9, Date.now()); // false
 * ```
 */
export function isSequenceReached(
  sequence: number,
  incarnation: number,
): boolean {
  return sequence <= Date.now() + MAX_CLOCK_DIFFERENCE_MS - incarnation;
}

/** Schema of the version of a model's weights; each is one above the last. */
export const weightVersionSchema = countSchema;

/** Schema of the oldest version that is wanted; any if it is below 0. */
export const minVersionSchema = weightVersionSchema.or(
  z.int().max(0).transform(() => 0),
);

/** Schema of the revision of a configuration. */
export const revisionSchema = z.int();

/** Schema of a duration, in milliseconds. */
export const durationMsSchema = z.number().min(0).max(MAX_DURATION_MS);

/** Schema of a duration, in seconds. */
export const durationSSchema = z.number().min(0).max(MAX_DURATION_MS / 1_000);

/** Schema of the time for which a target stays cold, in milliseconds. */
export const coldMsSchema = z.number().max(MAX_COLD_MS)
  .transform((ms) => Math.max(0, ms));

/** Schema of a priority; 0 is the most urgent. */
export const prioritySchema = z.number().min(-MAX_QUANTITY).max(MAX_QUANTITY);

/** Schema of a weight, price or rate. */
export const quantitySchema = z.number().min(0).max(MAX_QUANTITY);

/** Schema of the requests a second that a target names as its limit. */
export const limitPerSSchema = quantitySchema.min(MIN_LIMIT_PER_S);

/**
 * Schema of the time at which a target started, in milliseconds since the Unix
 * epoch; 0 if it names none. It is not far in the future: a report of an
 * earlier start counts as outdated.
 */
export const incarnationSchema = z.int().min(0).refine(
  (bornAt) => bornAt <= Date.now() + MAX_CLOCK_DIFFERENCE_MS,
  "Expected a time that is not in the future",
);
