/** What tells the items of all batches apart. */
import { createHash } from "node:crypto";
import type { BatchItem, BatchSpec } from "./batch.ts";

interface KnownIdentity {
  readonly workspace: string;
  readonly identity: string;
}

/** Identities of items, which are computed once. */
const identities = new WeakMap<BatchItem, KnownIdentity>();

/**
 * Gets the identity of an item: its identifier, its workspace and what decides
 * its output. Callers number their items by themselves, so identifiers alone
 * say nothing across workspaces. An item that comes again in a later batch of
 * its workspace keeps its identity.
 *
 * @example
 * ```ts
 * identityOf(spec, item) === identityOf(otherWorkspace, item); // false
 * ```
 */
export function identityOf(
  { workspace, host }: Pick<BatchSpec, "workspace" | "host">,
  item: BatchItem,
): string {
  const known = identities.get(item);
  if (known?.workspace === workspace) return known.identity;
  const { id, path, model, body } = item;
  const hash = createHash("sha256")
    .update(JSON.stringify([host, path, model]))
    .update(body)
    .digest("base64");
  const identity = JSON.stringify([workspace, id, hash]);
  identities.set(item, { workspace, identity });
  return identity;
}
