/** Reads of batch results by an entry instance. */
import { ResultCache, type ResultPage } from "../../core/batches/mod.ts";
import { chooseReplica, FleetRole } from "../../core/fleet/mod.ts";
import {
  BatchMethod,
  MAX_PAGE_BYTES,
  type ReadParams,
} from "../batches/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link BatchReader}. */
export interface BatchReaderOptions {
  readonly node: Pick<FleetNode, "hub" | "metrics" | "roster" | "settings"> & {
    readonly now: number;
  };
  /** Sends a read to the ledger's leader. */
  readonly readLeader: (
    params: ReadParams,
    timeoutMs: number,
  ) => Promise<unknown>;
}

/** Maximum size of the cache of batch results, in bytes. */
const RESULT_CACHE_BYTES = 16_777_216;
/** Time allowed for a read in addition to its own waiting time. */
const READ_EXTRA_MS = 1_000;
/** Longest time that a read waits at a replica for the next result. */
const REPLICA_WAIT_MS = 300;
/** Time allowed for a read at a replica in addition to its waiting time. */
const REPLICA_EXTRA_MS = 150;
/** Time for which a replica that did not answer is not asked. */
const REPLICA_AVOIDED_MS = 3_000;

/**
 * Reads results from the cache, from a replica of the ledger in the same data
 * centre, or from the ledger's leader. Only the leader says that there are no
 * more results, or no such batch.
 */
export class BatchReader {
  readonly #options: BatchReaderOptions;
  readonly #results = new ResultCache(RESULT_CACHE_BYTES);
  readonly #avoidedUntil = new Map<string, number>();
  readonly #spread: number;

  constructor(options: BatchReaderOptions) {
    this.#options = options;
    this.#spread = sumOfBytes(options.node.settings.id);
  }

  /**
   * Reads a page of results.
   * @throws RefusalError if the ledger does not answer in time.
   */
  async read(params: ReadParams): Promise<ResultPage> {
    const cached = this.#results.get(params, MAX_PAGE_BYTES);
    if (cached !== undefined) return cached;
    const startedAt = this.#options.node.now;
    const page = await this.#readReplica(params) ??
      await this.#readLeader(params, startedAt);
    this.#results.add(params, page);
    return page;
  }

  async #readLeader(
    params: ReadParams,
    startedAt: number,
  ): Promise<ResultPage> {
    const { node, readLeader } = this.#options;
    const waitedMs = node.now - startedAt;
    const waitMs = Math.max(0, params.waitMs - waitedMs);
    node.metrics.count("reads.leader");
    const page = await readLeader(
      { ...params, waitMs },
      waitMs + READ_EXTRA_MS,
    );
    return page as ResultPage;
  }

  /** Reads from a replica; undefined if none has results after the position. */
  async #readReplica(params: ReadParams): Promise<ResultPage | undefined> {
    const { node } = this.#options;
    const id = this.#chooseReplica();
    if (id === undefined) return undefined;
    const waitMs = Math.min(params.waitMs, REPLICA_WAIT_MS);
    try {
      const page = await node.hub.request(id, BatchMethod.ReadStored, {
        params: { ...params, waitMs },
        timeoutMs: waitMs + REPLICA_EXTRA_MS,
      });
      if (page === undefined || page === null) return undefined;
      node.metrics.count("reads.replica");
      return page as ResultPage;
    } catch {
      // The leader answers instead; the metric shows replicas that do not.
      node.metrics.count("reads.replicaFailed");
      this.#avoidedUntil.set(id, node.now + REPLICA_AVOIDED_MS);
      return undefined;
    }
  }

  #chooseReplica(): string | undefined {
    const { node } = this.#options;
    const { now } = node;
    return chooseReplica({
      members: node.roster.membersOf(FleetRole.Ledger, now),
      dataCentre: node.settings.dataCentre,
      spread: this.#spread,
      isAvoided: (id) => now < (this.#avoidedUntil.get(id) ?? -Infinity),
    });
  }
}

function sumOfBytes(text: string): number {
  return [...Buffer.from(text)].reduce((sum, byte) => sum + byte, 0);
}
