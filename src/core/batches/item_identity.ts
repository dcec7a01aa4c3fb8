/** What tells the items of all batches apart. */
import { createHash } from "node:crypto";
import type { BatchItem, BatchSpec } from "./batch.ts";

/** Identity of an item in one workspace. */
interface KnownIdentity {
  readonly workspace: string;
  readonly identity: string;
}

const NO_BODY = Buffer.alloc(0);

/** Digests of bodies, which are computed once. */
const bodyDigests = new WeakMap<Uint8Array, string>();

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
  const { id, path, model } = item;
  const hash = createHash("sha256")
    .update(JSON.stringify([host, path, model, bodyDigestOf(item)]))
    .digest("base64");
  const identity = JSON.stringify([workspace, id, hash]);
  identities.set(item, { workspace, identity });
  return identity;
}

/**
 * Gets an item without its body, which keeps its identity.
 *
 * @example
 * ```ts
 * identityOf(spec, withoutBody(item)) === identityOf(spec, item); // true
 * ```
 */
export function withoutBody(item: BatchItem): BatchItem {
  if (item.bodyDigest !== undefined) return item;
  const detached = { ...item, body: NO_BODY, bodyDigest: bodyDigestOf(item) };
  const { scoring } = item;
  if (scoring === undefined) return detached;
  return { ...detached, scoring: { ...scoring, body: NO_BODY } };
}

function bodyDigestOf({ body, bodyDigest }: BatchItem): string {
  const known = bodyDigest ?? bodyDigests.get(body);
  if (known !== undefined) return known;
  const digest = createHash("sha256").update(body).digest("base64");
  bodyDigests.set(body, digest);
  return digest;
}
