/** Schema of a target's report, as instances pass it on. */
import * as z from "zod";
import { type TargetReport, TargetState } from "../core/registry/mod.ts";
import {
  addressSchema,
  coldMsSchema,
  identifierSchema,
  incarnationSchema,
  isSequenceReached,
  nameSchema,
  sequenceSchema,
  slotsSchema,
  weightVersionSchema,
} from "./scalar_schemas.ts";

/** Schema of a {@link TargetReport}; unknown fields are dropped. */
export const targetReportSchema = z.object({
  id: identifierSchema,
  service: nameSchema,
  address: addressSchema,
  dataCentre: z.string(),
  incarnation: incarnationSchema,
  sequence: sequenceSchema,
  state: z.enum(Object.values(TargetState)),
  slots: slotsSchema,
  software: nameSchema.optional(),
  versions: z.record(z.string(), weightVersionSchema),
  isSpot: z.boolean(),
  coldMs: coldMsSchema.optional(),
}).refine(
  ({ sequence, incarnation }) => isSequenceReached(sequence, incarnation),
  { path: ["sequence"], message: "Expected one reached since the start" },
) satisfies z.ZodType<TargetReport>;
