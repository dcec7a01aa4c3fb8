/** Schema of a policy document, as instances pass it on. */
import * as z from "zod";
import type { PolicyDocument } from "../core/policy/mod.ts";
import { isNestedDeeper } from "./nesting.ts";
import { revisionSchema } from "./scalar_schemas.ts";

/**
 * Schema of the parts of a {@link PolicyDocument} that lookups are built from.
 * The operator's text was decoded in full by the instance that received it.
 */
export const policyDocumentSchema = z.looseObject({
  revision: revisionSchema,
  routes: z.array(z.looseObject({ host: z.string(), prefix: z.string() })),
  services: z.array(z.looseObject({ name: z.string() })),
  workspaces: z.array(z.looseObject({ keys: z.array(z.string()) })),
}).refine((document) => !isNestedDeeper(document), "Expected less nesting")
  .transform((document) => document as unknown as PolicyDocument);
