/** Deploy file of the platform: the command and settings of each role. */
import { readFileSync } from "node:fs";
import type { FleetRole } from "../../src/core/fleet/mod.ts";
import { type PlainSettings, renderTemplate } from "./settings_template.ts";

const DEPLOY_FILE = "deploy/system.toml";
const SECTION = /^\[roles\.(\w+)\]$/;
const VALUE = /^(run|template) = "(.*)"$/;

/** Reads commands and templates as the platform does. */
export class DeployFile {
  readonly #values = new Map<string, string>();

  /** Reads the deploy file of the working directory. */
  constructor() {
    let role = "";
    for (const line of readFileSync(DEPLOY_FILE, "utf8").split("\n")) {
      role = SECTION.exec(line)?.[1] ?? role;
      const [, name, value] = VALUE.exec(line) ?? [];
      if (name !== undefined) this.#values.set(`${role}.${name}`, value);
    }
  }

  /** Gets the words of the command that runs a role. */
  commandOf(role: FleetRole): string[] {
    return this.#getOrThrow(role, "run").split(" ");
  }

  /** Renders the settings of a role. */
  render(role: FleetRole, settings: PlainSettings): string {
    const template = readFileSync(this.#getOrThrow(role, "template"), "utf8");
    return renderTemplate(template, settings);
  }

  #getOrThrow(role: FleetRole, name: string): string {
    const value = this.#values.get(`${role}.${name}`);
    if (value !== undefined) return value;
    throw new Error(`${DEPLOY_FILE} has no ${name} of role ${role}`);
  }
}
