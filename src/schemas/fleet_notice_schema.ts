/** Decodes the notices that instances push to each other. */
import * as z from "zod";
import type { FleetNotice } from "../core/fleet/mod.ts";
import { Suspicion } from "../core/quarantine/mod.ts";
import { policyDocumentSchema } from "./policy_document_schema.ts";
import { changeSequenceSchema, rosterEntrySchema } from "./presence_schema.ts";
import { refusalTextOf } from "./refusal_text.ts";
import {
  coldMsSchema,
  countSchema,
  identifierSchema,
  incarnationSchema,
  instanceIdSchema,
  limitPerSSchema,
  nameSchema,
  weightVersionSchema,
} from "./scalar_schemas.ts";
import { targetReportSchema } from "./target_report_schema.ts";

/** A decoded notice, and why it or some of its entries are left out. */
export interface DecodedNotice {
  /** Undefined if the notice as a whole is malformed. */
  readonly notice: FleetNotice | undefined;
  readonly faults: readonly string[];
}

const MAX_DEAD_TARGETS = 1_000;

const suspicionSchema = z.object({
  fingerprint: nameSchema,
  suspicion: z.enum(Object.values(Suspicion)),
  deaths: countSchema,
  targets: z.array(z.string()).max(MAX_DEAD_TARGETS).optional(),
  trialAt: z.number().optional(),
  trials: countSchema.optional(),
});

const incarnationOfTarget = {
  target: identifierSchema,
  incarnation: incarnationSchema,
};
const load = {
  ...incarnationOfTarget,
  model: nameSchema,
  version: weightVersionSchema,
};
/** Entries are decoded one by one, so that the others hold. */
const entries = z.array(z.unknown());

const noticeSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("policy"), document: policyDocumentSchema }),
  z.object({
    type: z.literal("targets"),
    mark: changeSequenceSchema.nullish(),
    isWhole: z.boolean(),
    reports: entries,
    departed: entries.optional(),
  }),
  z.object({ type: z.literal("loading"), ...load }),
  z.object({ type: z.literal("loaded"), ...load }),
  z.object({ type: z.literal("leaving"), ...incarnationOfTarget }),
  z.object({
    type: z.literal("limit"),
    ...incarnationOfTarget,
    maxPerSecond: limitPerSSchema.nullish(),
  }),
  z.object({
    type: z.literal("cold"),
    ...incarnationOfTarget,
    coldMs: coldMsSchema,
    isForwarded: z.boolean(),
  }),
  z.object({
    type: z.literal("suspicions"),
    version: countSchema,
    changes: entries,
  }),
  z.object({
    type: z.literal("evacuations"),
    version: countSchema,
    dataCentres: z.array(nameSchema),
  }),
  z.object({
    type: z.literal("roster"),
    members: entries,
    retiring: entries,
    senders: entries.optional(),
  }),
]);

/** Schema of the entries of each list. */
const ENTRY_SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  reports: targetReportSchema,
  departed: z.object(incarnationOfTarget),
  changes: suspicionSchema,
  members: rosterEntrySchema,
  retiring: nameSchema,
  senders: instanceIdSchema,
};

/**
 * Decodes a notice. An entry of a list that is malformed is left out.
 *
 * @example
 * ```ts
 * const { notice, faults } = decodeNotice(message);
 * ```
 */
export function decodeNotice(value: unknown): DecodedNotice {
  const parsed = noticeSchema.safeParse(value);
  if (!parsed.success) {
    return { notice: undefined, faults: [refusalTextOf(parsed.error)] };
  }
  const faults: string[] = [];
  const fields = Object.entries(parsed.data)
    .map(([key, field]) => [key, decodeField(key, field, faults)]);
  return { notice: Object.fromEntries(fields) as FleetNotice, faults };
}

function decodeField(key: string, field: unknown, faults: string[]): unknown {
  const schema = ENTRY_SCHEMAS[key];
  if (schema === undefined) return field ?? undefined;
  if (!Array.isArray(field)) return field;
  const decoded: unknown[] = [];
  for (const entry of field) {
    const result = schema.safeParse(entry);
    if (result.success) decoded.push(result.data);
    else faults.push(`${key}: ${refusalTextOf(result.error)}`);
  }
  return decoded;
}
