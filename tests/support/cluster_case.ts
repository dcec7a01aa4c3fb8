/** What the tests of several instances share. */
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
export const ALL: readonly string[] = MEMBERS.map((member) => member.id);

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

/** Configuration document of the cluster. */
export type ClusterDocument = typeof DOCUMENT;

/** Answer to a request, as far as tests look at it. */
export interface CallAnswer {
  readonly status: number;
  readonly code?: string;
}

/** What a test sets up otherwise. */
export interface CaseOptions {
  /** Section `usage` of the configuration. */
  readonly usage?: Record<string, unknown>;
  /** Receivers of orders and reports. */
  readonly platform?: Record<string, unknown>;
}

/** Last lines of each instance that a failed test prints. */
const LINES_SHOWN = 200;

/** Keeps the cluster and the engine of the test that runs. */
export class ClusterCase {
  #cluster: TestCluster | undefined;
  #engine: FakeEngine | undefined;

  /** Starts a cluster of five instances in three data centres. */
  async start(options: CaseOptions = {}): Promise<TestCluster> {
    const { usage, platform } = options;
    const cluster = await TestCluster.start({
      members: MEMBERS,
      document: usage === undefined ? DOCUMENT : { ...DOCUMENT, usage },
      settings: platform === undefined ? {} : { platform },
    });
    this.#cluster = cluster;
    onTestFailed(() => {
      for (const id of ALL) {
        console.log(cluster.of(id).lines.slice(-LINES_SHOWN).join("\n"));
      }
    });
    return cluster;
  }

  /** Starts an engine that announces itself. */
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

  /** Sends a request of a workspace. */
  async ask(url: string, workspace: string): Promise<CallAnswer> {
    const res = await fetch(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${keyOf(workspace)}` },
      body: JSON.stringify(CHAT),
    });
    const body = await res.json() as { error?: { code: string } };
    return { status: res.status, code: body.error?.code };
  }

  /** Gets a change of one weight. */
  changeOf(revision: number, weight: number): Record<string, unknown> {
    return {
      requestId: `weight-${weight}`,
      sections: {
        workspaces: { ...DOCUMENT.workspaces, burgers: { weight } },
      },
      base: { workspaces: revision },
    };
  }

  /**
   * Sends a change again until it is accepted, as an operator does.
   *
   * It stays the same change while its outcome is open, and is based anew on
   * what holds only once an answer says that another was first.
   */
  async change(id: string, weight: number): Promise<Record<string, unknown>> {
    const on = this.#cluster;
    if (on === undefined) throw new Error("No cluster runs");
    let base: number | undefined;
    return await on.until(async () => {
      base ??= await this.#revisionOf(id);
      const body = this.changeOf(base, weight);
      const answer = await on.operator(id, "config", { method: "POST", body });
      if (isOvertaken(answer, body.requestId)) base = undefined;
      return answer.answer === "accepted" ? answer : undefined;
    });
  }

  /**
   * Waits until the ledger of each data centre has the backups it can have.
   *
   * While the one holder of a home is away, the home confirms no change; that
   * is as stated, since nobody else may decide for it.
   */
  async untilBackedUp(): Promise<void> {
    const on = this.#cluster;
    await on?.until(async () => {
      for (const { id, dataCentre } of MEMBERS) {
        const here = MEMBERS.filter((m) => m.dataCentre === dataCentre);
        const { view } = await on.status(id);
        if (view?.backups.length !== here.length - 1) return undefined;
      }
      return true;
    });
  }

  /** Reads the revision of the section that the changes are of. */
  async #revisionOf(id: string): Promise<number> {
    const config = await this.#cluster?.operator(id, "config") as {
      sections: Record<string, number>;
    };
    return config.sections.workspaces;
  }

  /** Ends engine and cluster. */
  async stop(): Promise<void> {
    this.#engine?.stop();
    this.#engine = undefined;
    await this.#cluster?.stop();
    this.#cluster = undefined;
  }
}

/** Gets whether another change was first; one that met itself was not lost. */
function isOvertaken(
  answer: Record<string, unknown>,
  requestId: unknown,
): boolean {
  if (answer.answer !== "conflict") return false;
  const conflicts = answer.conflicts as readonly { readonly winner: string }[];
  return conflicts.every(({ winner }) => winner !== requestId);
}
