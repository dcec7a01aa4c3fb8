/** A deployment of real processes on loopback. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createKeyRecord, formatKey } from "../../src/core/keys/mod.ts";
import type { FakeEngineOptions } from "../../fakes/engine.ts";
import { ProcessGroup, type StartedProcess } from "./process_group.ts";

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  /** Configuration document; a planner for two workspaces where absent. */
  readonly document?: Record<string, unknown>;
}

/** A started instance. */
export interface StartedInstance extends StartedProcess {
  /** Address of callers. */
  readonly url: string;
}

/** Token of operators in test deployments. */
export const OPERATOR_TOKEN = "operator-token-of-a-test";

const SECRET = "0123456789abcdef0123456789abcdef";

/** Document of two workspaces, a model route, a service and an open route. */
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

/** Gets the key of a workspace of the test document. */
export function keyOf(workspace: string): string {
  return formatKey({ id: `${workspace}-1`, secret: SECRET });
}

/** Starts instances and stand-ins, and removes their files at the end. */
export class Deployment {
  /** Folder of the deployment's files. */
  readonly folder = mkdtempSync(join(tmpdir(), "nutmegreel-"));
  readonly #group = new ProcessGroup();

  /** Writes the files that every instance reads. */
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

  /** Writes a JSON file and gets its path. */
  write(name: string, content: unknown): string {
    const file = join(this.folder, name);
    writeFileSync(file, JSON.stringify(content));
    return file;
  }

  /** Gets a path in the folder. */
  path(name: string): string {
    return join(this.folder, name);
  }

  /** Starts an instance. */
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

  /** Starts an engine and waits until it has announced itself. */
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

  /** Starts a stand-in. */
  startFake(kind: string, options: unknown): StartedProcess {
    return this.#group.start("fake", [kind, JSON.stringify(options)]);
  }

  /** Ends all processes and removes the files. */
  async stop(): Promise<void> {
    await this.#group.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
