/** Schemas of what instances say of themselves and of others. */
import * as z from "zod";
import {
  type ChangeSequence,
  type FleetMember,
  FleetRole,
  type RosterEntry,
} from "../core/fleet/mod.ts";
import {
  countSchema,
  instanceIdSchema,
  nameSchema,
  revisionSchema,
} from "./scalar_schemas.ts";

const roleSchema = z.enum(Object.values(FleetRole));

/** Schema of a {@link ChangeSequence}. */
export const changeSequenceSchema = z.object({
  life: nameSchema,
  change: countSchema,
}) satisfies z.ZodType<ChangeSequence>;

const common = {
  name: nameSchema,
  dataCentre: nameSchema,
  role: roleSchema,
  leadsTerm: countSchema.optional(),
  isVoter: z.boolean().optional(),
};

const memberSchema = z.object({
  ...common,
  replica: nameSchema.optional(),
  policyRevision: revisionSchema,
  evacuationVersion: countSchema.optional(),
  targetsSeen: z.record(z.string(), changeSequenceSchema),
}).transform((member) => ({
  ...member,
  replica: member.replica,
  leadsTerm: member.leadsTerm,
})) satisfies z.ZodType<FleetMember>;

/** Schema of a {@link RosterEntry}; unknown fields are dropped. */
export const rosterEntrySchema = z.object({ ...common, id: instanceIdSchema })
  .transform((entry) => ({
    ...entry,
    leadsTerm: entry.leadsTerm,
  })) satisfies z.ZodType<RosterEntry>;

/** Schema of the heartbeat of an instance; unknown fields are dropped. */
export const presenceSchema = z.object({
  replica: nameSchema.optional(),
  ledger: nameSchema,
  incarnation: nameSchema,
  isDraining: z.boolean(),
  isCutOff: z.boolean().optional(),
  takesBulk: z.boolean().optional(),
  member: memberSchema.optional(),
});
