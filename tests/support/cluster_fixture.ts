/** Fixture for tests of a cluster of five instances. */
import { onTestFailed } from "vitest";
import { FakeEngine } from "../../fakes/engine.ts";
import { TestCluster } from "./cluster.ts";
import { keyOf, PLANNER_DOCUMENT } from "./deployment.ts";

/** Body of a request for a chat completion. */
export const CHAT = {
  model: "planner",
  messages: [{ role: "user", content: "Who covers the night" }],
};

const MEMBERS = [
  { id: "a", dataCentre: "nl-1", control: true },
  { id: "b", dataCentre: "nl-1" },
  { id: "c", dataCentre: "nl-2", control: true },
  { id: "d", dataCentre: "nl-2", disk: true },
  { id: "e", dataCentre: "nl-3", control: true },
];

/** Identifiers of all instances. */
export const INSTANCE_IDS: readonly string[] = MEMBERS.map((member) =>
  member.id
);

const DOCUMENT = {
  ...PLANNER_DOCUMENT,
  workspaces: {
    artis: { home: "nl-1" },
    blijdorp: { home: "nl-2" },
    burgers: {},
  },
  zones: Object.fromEntries(["nl-1", "nl-2", "nl-3"].map((dataCentre) => [
    `${dataCentre}a`,
    { dataCentre, region: "nl", lasting: true, pricePerHour: 1 },
  ])),
};

/** Configuration document of the cluster under test. */
export type ClusterDocument = typeof DOCUMENT;

/** Status and error code of the response to a chat request. */
export interface CallResult {
  readonly status: number;
  readonly code?: string;
}

/** Options of {@link ClusterFixture.start}. */
export interface ClusterFixtureOptions {
  /** Section `usage` of the configuration document. */
  readonly usage?: Record<string, unknown>;
  /** Settings of the platform's endpoints for orders and usage reports. */
  readonly platform?: Record<string, unknown>;
}

/** Number of last log lines that a failed test prints for each instance. */
const LOG_LINES_SHOWN = 200;

/** Owns the cluster and the engine of the current test. */
export class ClusterFixture {
  #cluster: TestCluster | undefined;
  #engine: FakeEngine | undefined;

  /** Starts a cluster of five instances in three data centres. */
  async start(options: ClusterFixtureOptions = {}): Promise<TestCluster> {
    const { usage, platform } = options;
    const cluster = await TestCluster.start({
      members: MEMBERS,
      document: usage === undefined ? DOCUMENT : { ...DOCUMENT, usage },
      settings: platform === undefined ? {} : { platform },
    });
    this.#cluster = cluster;
    onTestFailed(() => {
      for (const id of INSTANCE_IDS) {
        console.log(
          cluster.getInstanceOrThrow(id).lines.slice(-LOG_LINES_SHOWN).join(
            "\n",
          ),
        );
      }
    });
    return cluster;
  }

  /** Starts an engine that announces itself to the given instances. */
  async startEngine(urls: readonly string[]): Promise<FakeEngine> {
    this.#engine = new FakeEngine({
      id: "e1",
      pools: ["planner"],
      zone: "nl-1a",
      announceTo: urls,
      msPerToken: 2,
    });
    await this.#engine.start();
    return this.#engine;
  }

  /** Sends a chat request with the key of a workspace. */
  async sendChatRequest(url: string, workspace: string): Promise<CallResult> {
    const res = await fetch(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${keyOf(workspace)}` },
      body: JSON.stringify(CHAT),
    });
    const body = await res.json() as { error?: { code: string } };
    return { status: res.status, code: body.error?.code };
  }

  /** Creates a change of the weight of the workspace `burgers`. */
  createChange(revision: number, weight: number): Record<string, unknown> {
    return {
      requestId: `weight-${weight}`,
      sections: {
        workspaces: { ...DOCUMENT.workspaces, burgers: { weight } },
      },
      base: { workspaces: revision },
    };
  }

  /**
   * Resends a change until it is accepted, as an operator does.
   *
   * The same change is resent while its outcome is unknown. It is rebased on
   * the current revision only after a conflict with a different change.
   */
  async submitChange(
    id: string,
    weight: number,
  ): Promise<Record<string, unknown>> {
    const cluster = this.#cluster;
    if (cluster === undefined) {
      throw new Error("The cluster has not been started");
    }
    let base: number | undefined;
    return await cluster.waitUntil(async () => {
      base ??= await this.#readSectionRevision(id);
      const body = this.createChange(base, weight);
      const response = await cluster.sendOperatorRequest(id, "config", {
        method: "POST",
        body,
      });
      if (isConflictWithOther(response, body.requestId)) base = undefined;
      return response.answer === "accepted" ? response : undefined;
    });
  }

  /**
   * Waits until the ledger of each data centre has all possible backups.
   *
   * While the only replica of a home ledger is down, the home confirms no
   * change. That is intended, as no other data centre may decide for it.
   */
  async waitUntilBackedUp(): Promise<void> {
    const cluster = this.#cluster;
    await cluster?.waitUntil(async () => {
      for (const { id, dataCentre } of MEMBERS) {
        const local = MEMBERS.filter((m) => m.dataCentre === dataCentre);
        const { view } = await cluster.status(id);
        if (view?.backups.length !== local.length - 1) return undefined;
      }
      return true;
    });
  }

  /** Reads the current revision of the section `workspaces`. */
  async #readSectionRevision(id: string): Promise<number> {
    const config = await this.#cluster?.sendOperatorRequest(id, "config") as {
      sections: Record<string, number>;
    };
    return config.sections.workspaces;
  }

  /** Stops the engine and the cluster. */
  async stop(): Promise<void> {
    this.#engine?.stop();
    this.#engine = undefined;
    await this.#cluster?.stop();
    this.#cluster = undefined;
  }
}

/**
 * Gets whether a change was refused because of a different change.
 *
 * A resent change that conflicts with its own first copy has been accepted.
 */
function isConflictWithOther(
  response: Record<string, unknown>,
  requestId: unknown,
): boolean {
  if (response.answer !== "conflict") return false;
  const conflicts = response.conflicts as readonly {
    readonly winner: string;
  }[];
  return conflicts.every(({ winner }) => winner !== requestId);
}
