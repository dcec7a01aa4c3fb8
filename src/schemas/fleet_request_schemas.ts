/** Schemas of the requests that control instances serve. */
import * as z from "zod";
import type { ServiceDemand } from "../core/batches/mod.ts";
import type { Departure, FleetCommand } from "../core/fleet/mod.ts";
import type { PermitRequest } from "../core/limits/mod.ts";
import { policyDocumentSchema } from "./policy_document_schema.ts";
import {
  countSchema,
  identifierSchema,
  incarnationSchema,
  nameSchema,
  quantitySchema,
  revisionSchema,
  weightVersionSchema,
} from "./scalar_schemas.ts";

/** A leader grants the permits of a request without a pause. */
const MAX_PERMITS = 100_000;
const MAX_PERMIT_WAIT_MS = 2_147_483_647;

const windowSchema = z.int().min(0);
const countsSchema = z.record(z.string(), countSchema);

const departureSchema = z.object({
  target: identifierSchema,
  incarnation: incarnationSchema,
  at: z.number(),
}) satisfies z.ZodType<Departure>;

/** Schema of a command of the control log. */
export const fleetCommandSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("replacePolicy"),
    document: policyDocumentSchema,
    source: z.string(),
  }),
  z.object({
    type: z.literal("announceWeights"),
    model: nameSchema,
    version: weightVersionSchema,
  }),
  z.object({ type: z.literal("formLedger"), voters: z.array(nameSchema) }),
  z.object({
    type: z.literal("sealUsage"),
    window: windowSchema,
    counts: countsSchema,
  }),
  z.object({ type: z.literal("usageReported"), window: windowSchema }),
  z.object({
    type: z.literal("reportRuns"),
    deaths: z.array(z.object({
      fingerprint: nameSchema,
      target: z.string(),
      at: z.number(),
    })),
    completed: z.array(nameSchema),
  }),
  z.object({
    type: z.literal("takeTrial"),
    fingerprint: nameSchema,
    at: z.number(),
  }),
  z.object({
    type: z.literal("evacuate"),
    dataCentre: nameSchema,
    after: countSchema,
  }),
  z.object({
    type: z.literal("readmit"),
    dataCentre: nameSchema,
    after: countSchema,
  }),
  z.object({
    type: z.literal("depart"),
    departures: z.array(departureSchema),
  }),
  z.object({ type: z.literal("retire"), name: nameSchema }),
  z.object({ type: z.literal("retired"), name: nameSchema }),
]) satisfies z.ZodType<FleetCommand>;

/** Schema of a request to confirm the policy in force. */
export const confirmRequestSchema = z.object({
  revision: revisionSchema,
  instance: nameSchema,
  life: nameSchema,
  usage: z.record(z.string().regex(/^\d{1,15}$/), countsSchema),
  suspicionVersion: countSchema.optional(),
  evacuationVersion: countSchema.optional(),
}).transform((request) => ({
  ...request,
  suspicionVersion: request.suspicionVersion,
}));

/** Schema of a request to read the policy, or what the leader has applied. */
export const readRequestSchema = z.object({
  isPositionOnly: z.boolean().default(false),
});

/** Schema of a request for permits. */
export const permitRequestSchema = z.object({
  targets: z.array(z.object({
    target: z.string(),
    perSecond: quantitySchema,
    burst: quantitySchema.optional(),
  })),
  count: z.number().min(0).max(MAX_PERMITS),
  /** Below 0 for a request whose deadline has passed. */
  maxWaitMs: z.number().max(MAX_PERMIT_WAIT_MS),
}) satisfies z.ZodType<PermitRequest>;

/** Schema of the demand for a service. */
export const serviceDemandSchema = z.object({
  service: nameSchema,
  meanItems: quantitySchema,
  peaks: z.record(z.string(), countSchema),
}) satisfies z.ZodType<ServiceDemand>;
