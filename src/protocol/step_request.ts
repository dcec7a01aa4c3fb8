/** Schemas of the bodies of the step, weights and target endpoints. */
import * as z from "zod";

const MAX_GROUPS = 4_096;
const MAX_SAMPLES = 16_384;
const DAY_MS = 86_400_000;
const DEFAULT_DEADLINE_MS = 240_000;
const DEFAULT_TOKENS = 256;

const groupSchema = z.strictObject({
  id: z.string().min(1).max(128),
  body: z.record(z.string(), z.unknown()),
  samples: z.number().int().min(1).max(MAX_SAMPLES),
});

/** Schema of the submission of a step; ids of groups are unique in it. */
export const stepRequestSchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9._-]{1,128}$/, "Expected a plain name"),
  route: z.string(),
  groups: z.array(groupSchema).min(1).max(MAX_GROUPS),
  staleness: z.strictObject({
    maxVersionsBehind: z.number().int().nonnegative(),
    maxAgeMs: z.number().int().positive().optional(),
  }).optional(),
  deadlineMs: z.number().int().min(1).max(DAY_MS).default(DEFAULT_DEADLINE_MS),
  tokensPerSample: z.number().int().min(1).default(DEFAULT_TOKENS),
  scoringRoute: z.string().optional(),
}).superRefine((step, context) => {
  const ids = new Set<string>();
  step.groups.forEach(({ id }, i) => {
    if (ids.has(id)) {
      const message = "Group occurs twice";
      context.addIssue({ code: "custom", path: ["groups", i, "id"], message });
    }
    ids.add(id);
  });
  const samples = step.groups.reduce((sum, g) => sum + g.samples, 0);
  if (samples <= MAX_SAMPLES) return;
  const message = `Expected at most ${MAX_SAMPLES} samples`;
  context.addIssue({ code: "custom", path: ["groups"], message });
});

/** Submission of a step. */
export type StepRequest = z.output<typeof stepRequestSchema>;

/** Schema of an acknowledgement of samples. */
export const ackRequestSchema = z.strictObject({
  through: z.number().int().nonnegative(),
});

/** Schema of an announcement of a new weight version. */
export const weightsRequestSchema = z.strictObject({
  model: z.string(),
  version: z.number().int().nonnegative(),
});

/** Schema of a target's announcement of itself. */
export const announceRequestSchema = z.strictObject({
  id: z.string().min(1).max(128),
  incarnation: z.string().min(1).max(128),
  url: z.url({ protocol: /^https?$/ }),
  pools: z.array(z.string().min(1)).min(1),
  zone: z.string(),
  weightVersion: z.number().int().nonnegative().optional(),
});

/** Schema of a target's response to a health probe. */
export const healthSchema = z.object({
  incarnation: z.string(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
  weightVersion: z.number().int().nonnegative().optional(),
});
