/** A group of ledger replicas in one process, each with a folder of its own. */
import { mkdirSync, readdirSync, statSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Packr } from "msgpackr";
import { expect, vi } from "vitest";
import {
  type BatchCommand,
  BatchState,
  type LedgerSnapshot,
  ResultState,
} from "../../src/core/batches/mod.ts";
import { type ConsensusMessage, Role } from "../../src/core/consensus/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { LEDGER_LOG_OPTIONS } from "../../src/tasks/batches/ledger_log_options.ts";
import { LedgerTexts } from "../../src/tasks/batches/ledger_texts.ts";
import type { ResultFiles } from "../../src/tasks/batches/result_files.ts";
import type { TextName } from "../../src/tasks/batches/text_exchange.ts";
import { LogDriver } from "../../src/tasks/log/log_driver.ts";
import { LogStore } from "../../src/tasks/log/log_store.ts";
import { createItem, createSpec } from "./batch_spec.ts";

/** Driver of a replica of the ledger. */
export type LedgerDriver = LogDriver<
  BatchCommand,
  LedgerSnapshot,
  unknown,
  BatchState
>;

/** Message between replicas of the ledger. */
export type LedgerMessage = ConsensusMessage<BatchCommand, LedgerSnapshot>;

/** A running replica. */
interface LedgerReplica {
  readonly driver: LedgerDriver;
  readonly texts: LedgerTexts;
  files: ResultFiles | undefined;
  /** Terms of the applied entries, by index. */
  readonly terms: ReadonlyMap<number, number>;
}

/** Instances of the group. */
export const LEDGER_IDS = ["a", "b", "c"];
/** Batches that one call of {@link LedgerGroup.fill} makes. */
export const FILLED_BATCHES = 24;
/** Name of the log, and of its folder. */
export const LEDGER_LOG = "batches";

const PACKR = new Packr({ useRecords: false });
const ITEMS = 8;
const WAIT = { timeout: 10_000, interval: 5 };
const TIMES = { heartbeatMs: 50, electionMs: 300, clockRateError: 0.02 };
const COMPACT_BYTES = 65_536;

/** Gets the text of an item. */
export const textOf = (batch: string, item: string) =>
  `${batch} ${item} é `.repeat(200);

/** Gets the identifiers of the items of each batch. */
export const itemsOf = () => Array.from({ length: ITEMS }, (_, i) => `i-${i}`);

/** Gets the commands that accept a batch, list its results and end it. */
export function commandsOf(batch: string): BatchCommand[] {
  const items = itemsOf().map((id) => createItem(id));
  const records = itemsOf().map((id) => ({
    batch,
    result: {
      id,
      state: ResultState.Completed,
      text: textOf(batch, id),
      versions: [1],
    },
  }));
  return [
    { type: "accept", spec: createSpec({ id: batch, items }) },
    { type: "list", records },
    { type: "end", batch },
  ];
}

/** Runs three replicas whose messages share no memory. */
export class LedgerGroup {
  readonly #dataFolder: string;
  readonly #replicas = new Map<string, LedgerReplica>();
  /** Index of the last entry that the leader has applied. */
  #acknowledged = 0;
  /** Called with each message between replicas. */
  onSent: (message: LedgerMessage) => void = () => {};
  /** Gets whether a replica answers requests for texts. */
  serves: (id: string) => boolean = () => true;
  /** Number of requests for texts. */
  textRequests = 0;

  private constructor(dataFolder: string) {
    this.#dataFolder = dataFolder;
  }

  /** Forms a group. */
  static async start(): Promise<LedgerGroup> {
    const folder = await mkdtemp(join(tmpdir(), "ledger-group-"));
    const group = new LedgerGroup(folder);
    for (const id of LEDGER_IDS) await group.#create(id);
    await Promise.all(LEDGER_IDS.map((id) => group.start(id)));
    return group;
  }

  /** Stops all replicas and removes their folders. */
  async stopAll(): Promise<void> {
    await Promise.all([...this.#replicas.keys()].map((id) => this.stop(id)));
    await rm(this.#dataFolder, { recursive: true, force: true });
  }

  /** Gets the driver of a running replica. */
  driverOf(id: string): LedgerDriver {
    return this.#replicas.get(id)!.driver;
  }

  /** Gets the files of a running replica. */
  filesOf(id: string): ResultFiles {
    return this.#replicas.get(id)!.files!;
  }

  /** Gets the texts of a running replica. */
  textsOf(id: string): LedgerTexts {
    return this.#replicas.get(id)!.texts;
  }

  /** Gets the folder of an instance. */
  folderOf(id: string): string {
    return join(this.#dataFolder, id);
  }

  async #create(id: string): Promise<void> {
    mkdirSync(this.folderOf(id));
    await LogStore.create({
      dataFolder: this.folderOf(id),
      name: LEDGER_LOG,
      emptyState: new BatchState().save(),
      instances: LEDGER_IDS,
    });
  }

  /**
   * Starts a replica.
   * @param takesReferences - Whether it takes references in place of texts, as
   *     builds before do not.
   */
  async start(id: string, takesReferences = true): Promise<void> {
    const logger = new Logger({ instance: id, level: "error" });
    const now = () => performance.now();
    const terms = new Map<number, number>();
    const present = () =>
      [...this.#replicas.values()].flatMap(({ driver }) =>
        driver.replica ?? []
      );
    const texts = new LedgerTexts({
      state: () => driver.state,
      sources: () => [...this.#replicas.keys()].filter((other) => other !== id),
      request: (instance, names) => this.#requestTexts(instance, names),
      isPartial: () => driver.isPartial,
      store: () => driver.compact(),
      logger,
      now,
    });
    const driver: LedgerDriver = new LogDriver({
      ...LEDGER_LOG_OPTIONS,
      ...(takesReferences ? {} : { detach: undefined }),
      compactBytes: COMPACT_BYTES,
      id,
      dataFolder: this.folderOf(id),
      name: LEDGER_LOG,
      wantedVoters: () => LEDGER_IDS.length,
      wantedLearners: 0,
      times: TIMES,
      logger,
      now,
      openFiles: async (folder, state) => {
        replica.files = await texts.open(folder, state);
        return replica.files;
      },
      send: (to, message) => {
        this.onSent(message);
        const copy = PACKR.unpack(PACKR.pack(message));
        setImmediate(() => this.#replicas.get(to)?.driver.receive(copy));
      },
      presentReplicas: present,
      isLost: (lost) => !present().includes(lost),
      onApplied: ({ index, term }) => terms.set(index, term),
      onRestored: () => {},
      onRole: () => {},
    });
    const replica: LedgerReplica = { driver, texts, files: undefined, terms };
    this.#replicas.set(id, replica);
    await driver.start();
  }

  async #requestTexts(
    id: string,
    names: readonly TextName[],
  ): Promise<unknown> {
    this.textRequests += 1;
    const replica = this.#replicas.get(id);
    if (replica === undefined || !this.serves(id)) {
      throw new Error(`${id} does not answer`);
    }
    const reply = await replica.texts.serve(PACKR.unpack(PACKR.pack(names)));
    return PACKR.unpack(PACKR.pack(reply));
  }

  /** Stops a replica. */
  async stop(id: string): Promise<void> {
    const replica = this.#replicas.get(id);
    this.#replicas.delete(id);
    replica?.texts.stop();
    await replica?.driver.stop();
  }

  /** Stops a replica, and starts it with an empty disk. */
  async loseDisk(id: string, takesReferences = true): Promise<void> {
    await this.stop(id);
    await rm(this.folderOf(id), { recursive: true, maxRetries: 5 });
    mkdirSync(this.folderOf(id));
    await this.start(id, takesReferences);
  }

  /** Waits for a leader that has applied all. */
  async untilLed(): Promise<LedgerDriver> {
    return (await this.#untilLeader()).driver;
  }

  #untilLeader(): Promise<LedgerReplica> {
    return vi.waitFor(() => {
      const leader = [...this.#replicas.values()]
        .find(({ driver }) => driver.isReady);
      return leader ?? Promise.reject(new Error("No leader"));
    }, WAIT);
  }

  /** Waits until a new replica of an instance is one of three voters. */
  async untilVoter(id: string): Promise<void> {
    await vi.waitFor(async () => {
      const { replica } = this.driverOf(id);
      const { node } = await this.untilLed();
      expect(node?.committedMembers.voters).toContain(replica);
      expect(node?.committedMembers.voters).toHaveLength(LEDGER_IDS.length);
    }, WAIT);
  }

  /** Applies a command, once more if the leader changes meanwhile. */
  async apply(command: BatchCommand): Promise<void> {
    for (;;) {
      const { driver, terms } = await this.#untilLeader();
      const position = driver.propose(command);
      if (position === undefined) continue;
      const { index, term } = position;
      const decided = () =>
        expect(terms.has(index) || driver.node?.role !== Role.Leader)
          .toBe(true);
      await vi.waitFor(decided, WAIT);
      if (terms.get(index) !== term) continue;
      this.#acknowledged = index;
      return;
    }
  }

  /** Makes batches with results, and ends them. */
  async fill(first = 0): Promise<void> {
    for (let i = first; i < first + FILLED_BATCHES; i += 1) {
      for (const command of commandsOf(`b-${i}`)) await this.apply(command);
    }
  }

  /** Gets the size of all files of texts of a replica. */
  fileBytes(id: string): number {
    const folder = join(this.folderOf(id), LEDGER_LOG);
    return readdirSync(folder)
      .filter((name) => name.startsWith("texts-"))
      .reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
  }

  /** Waits until most texts of a replica are in files. */
  async untilMoved(id: string): Promise<void> {
    await vi.waitFor(() => {
      const { state } = this.driverOf(id);
      expect(state.movedBytes).toBeGreaterThan(state.movableBytes);
    }, WAIT);
  }

  /** Waits until a replica holds a number of batches. */
  async untilHeld(id: string, batches: number): Promise<void> {
    await vi.waitFor(
      () => expect(this.driverOf(id).state.all).toHaveLength(batches),
      WAIT,
    );
  }

  /** Waits until a replica lacks no texts, and its stored snapshot names them. */
  async untilComplete(id: string): Promise<void> {
    await vi.waitFor(() => {
      this.textsOf(id).backfill();
      const { state, isPartial } = this.driverOf(id);
      expect({ missingBytes: state.missingBytes, isPartial })
        .toEqual({ missingBytes: 0, isPartial: false });
    }, WAIT);
  }

  /**
   * Checks that a replica that has applied all that was acknowledged reads the
   * results of some batches in full.
   */
  async check(id: string, batches: number): Promise<void> {
    const hasApplied = () =>
      expect(this.driverOf(id).applied)
        .toBeGreaterThanOrEqual(this.#acknowledged);
    await vi.waitFor(hasApplied, WAIT);
    const { state } = this.driverOf(id);
    for (let i = 0; i < batches; i += 1) {
      const batch = `b-${i}`;
      const page = state.get(batch)?.getPage(0, Infinity);
      const results = await this.textsOf(id).read(batch, page?.results ?? []);
      const texts = new Map(results.map(({ id: item, text }) => [item, text]));
      const wrong = itemsOf()
        .filter((item) => texts.get(item) !== textOf(batch, item));
      expect({ batch, wrong }).toEqual({ batch, wrong: [] });
    }
  }
}
