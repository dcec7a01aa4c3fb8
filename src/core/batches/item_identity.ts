/** What tells the items of all batches apart. */
import { createHash } from "node:crypto";
import type { BatchItem, BatchSpec } from "./batch.ts";

/** Identities of items, which are computed once. */
const identities = new WeakMap<BatchItem, string>();

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
  const prefix = JSON.stringify([workspace, item.id]);
  if (known?.startsWith(prefix) === true) return known;
  const { path, model, body } = item;
  const hash = createHash("sha256")
    .update(JSON.stringify([host, path, model]))
    .update(body)
    .digest("base64");
  const identity = prefix + hash;
  identities.set(item, identity);
  return identity;
}
