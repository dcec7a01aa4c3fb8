/** Schema of the messages of replicated logs. */
import * as z from "zod";
import { countSchema, durationMsSchema, nameSchema } from "./scalar_schemas.ts";

const indexSchema = z.int().min(0);
const membersSchema = z.object({
  voters: z.array(nameSchema),
  learners: z.array(nameSchema),
});
const contentSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("noop") }),
  z.object({ type: z.literal("command"), command: z.unknown() }),
  z.object({ type: z.literal("members"), members: membersSchema }),
]);
const position = { index: indexSchema, term: countSchema };
const base = { from: nameSchema, to: nameSchema, term: countSchema };
const candidate = { ...base, lastIndex: indexSchema, lastTerm: countSchema };
const vote = { ...base, isGranted: z.boolean() };
const sentAt = z.number();

const messageSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("preVoteRequest"), ...candidate }),
  z.object({ type: z.literal("preVoteReply"), ...vote }),
  z.object({
    type: z.literal("voteRequest"),
    ...candidate,
    isTransfer: z.boolean(),
  }),
  z.object({ type: z.literal("voteReply"), ...vote }),
  z.object({
    type: z.literal("appendRequest"),
    ...base,
    prevIndex: indexSchema,
    prevTerm: countSchema,
    entries: z.array(z.object({ ...position, content: contentSchema })),
    committed: indexSchema,
    electionDelayMs: durationMsSchema.optional(),
    sentAt,
  }),
  z.object({
    type: z.literal("appendReply"),
    ...base,
    isAccepted: z.boolean(),
    matchIndex: indexSchema,
    takesParts: z.boolean().optional(),
    sentAt,
  }),
  z.object({
    type: z.literal("snapshotRequest"),
    ...base,
    snapshot: z.object({
      ...position,
      members: membersSchema,
      state: z.looseObject({}),
    }),
    sentAt,
  }),
  z.object({
    type: z.literal("snapshotPartRequest"),
    ...base,
    snapshot: z.object({ ...position, members: membersSchema }),
    first: indexSchema,
    total: countSchema,
    parts: z.array(z.unknown()),
    sentAt,
  }),
  z.object({
    type: z.literal("snapshotPartReply"),
    ...base,
    index: indexSchema,
    isAccepted: z.boolean(),
    received: indexSchema,
    sentAt,
  }),
  z.object({ type: z.literal("transferRequest"), ...base }),
]);

/** Schema of a message of a named log; commands and states are not decoded. */
export const logEnvelopeSchema = z.object({
  log: nameSchema,
  message: messageSchema,
});
