/** Deployment of real processes on the loopback interface. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createKeyRecord, formatKey } from "../../src/core/keys/mod.ts";
import type { FakeEngineOptions } from "../../fakes/engine.ts";
import { ProcessGroup, type StartedProcess } from "./process_group.ts";

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  /** Configuration document; {@link PLANNER_DOCUMENT} where absent. */
  readonly document?: Record<string, unknown>;
}

/** A running instance. */
export interface StartedInstance extends StartedProcess {
  /** Base URL for callers. */
  readonly url: string;
}

/** Operator token of test deployments. */
export const OPERATOR_TOKEN = "operator-token-of-a-test";

const SECRET = "0123456789abcdef0123456789abcdef";

/**
 * Configuration with two workspaces, a model route for both and one for one
 * workspace, a service route and an open service route.
 */
export const PLANNER_DOCUMENT = {
  workspaces: {
    artis: { weight: 1, home: "nl-1" },
    blijdorp: { weight: 1, home: "nl-1" },
  },
  models: { planner: {} },
  routes: {
    planner: { kind: "model", model: "planner", idempotent: true },
    dispatch: { kind: "service", idempotent: false },
    opening: { kind: "service", open: true, idempotent: true },
    private: {
      kind: "model",
      model: "planner",
      workspaces: ["blijdorp"],
      idempotent: true,
    },
  },
  zones: {
    "nl-1a": {
      dataCentre: "nl-1",
      region: "nl-midden",
      lasting: true,
      pricePerHour: 4,
    },
  },
  staleness: { planner: { maxVersionsBehind: 1 } },
};

/** Gets the API key of a workspace in a test deployment. */
export function keyOf(workspace: string): string {
  return formatKey({ id: `${workspace}-1`, secret: SECRET });
}

/** Starts instances and fakes, and removes their files at the end. */
export class Deployment {
  /** Temporary folder with the settings, keys and tokens. */
  readonly folder = mkdtempSync(join(tmpdir(), "nutmegreel-"));
  readonly #group = new ProcessGroup();

  /** Writes the configuration, keys and operator token for all instances. */
  constructor(options: DeploymentOptions = {}) {
    const document = options.document ?? PLANNER_DOCUMENT;
    this.write("configuration.json", document);
    const workspaces = Object.keys(
      (document.workspaces ?? {}) as Record<string, unknown>,
    );
    this.write(
      "keys.json",
      workspaces.map((workspace) =>
        createKeyRecord({
          id: `${workspace}-1`,
          workspace,
          secret: SECRET,
          salt: "00",
        })
      ),
    );
    writeFileSync(join(this.folder, "operator.token"), OPERATOR_TOKEN);
  }

  /** Writes a JSON file to the folder and gets its path. */
  write(name: string, content: unknown): string {
    const file = join(this.folder, name);
    writeFileSync(file, JSON.stringify(content));
    return file;
  }

  /** Gets the path of a file in the folder. */
  path(name: string): string {
    return join(this.folder, name);
  }

  /**
   * Starts an instance and waits until it listens (log event 1001).
   * @param settings - Settings merged over the defaults of the deployment.
   * @throws Error if the process exits first.
   */
  async startInstance(
    settings: Record<string, unknown> = {},
  ): Promise<StartedInstance> {
    const id = String(settings.id ?? "nl-1-a");
    const file = this.write(`${id}.json`, {
      id,
      dataCentre: "nl-1",
      listen: { host: "127.0.0.1", port: 0 },
      operatorTokenFile: this.path("operator.token"),
      bootstrap: {
        configurationFile: this.path("configuration.json"),
        keysFile: this.path("keys.json"),
      },
      targets: { probeIntervalMs: 200 },
      ...settings,
    });
    const started = this.#group.start("nutmegreel", [
      "serve",
      "--settings",
      file,
    ]);
    const line = await started.waitForLine((text) =>
      JSON.parse(text).event === 1001
    );
    return { ...started, url: `http://127.0.0.1:${JSON.parse(line).port}` };
  }

  /** Starts a fake engine and waits for its first announcements. */
  async startEngine(
    options: Partial<FakeEngineOptions> & { announceTo: readonly string[] },
  ): Promise<StartedProcess & { url: string }> {
    const started = this.startFake("engine", {
      id: "engine-1",
      pools: ["planner"],
      zone: "nl-1a",
      ...options,
    });
    const line = await started.waitForLine((text) => text.includes("ready"));
    return { ...started, url: JSON.parse(line).ready };
  }

  /** Starts a fake of `fakes/main.ts` as a process. */
  startFake(kind: string, options: unknown): StartedProcess {
    return this.#group.start("fake", [kind, JSON.stringify(options)]);
  }

  /** Kills all processes and removes the files. */
  async stop(): Promise<void> {
    await this.#group.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
