/** Runs of the command that checks documents, over files in a folder. */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fleetPolicy } from "./fleet_policy.ts";

/** Result of a run. */
export interface CheckOutcome {
  /** Exit code. */
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** A document as it is sent, which tests change freely. */
// deno-lint-ignore no-explicit-any
export type SentPolicy = any;

const PROGRAM = "dist/nutmegreel.mjs";

/** Keys of the two workspaces of {@link policySource}. */
export const CHECK_KEYS = ["sk-3f81c2", "sk-77aa01"] as const;

/** Gets a document that has no warnings, after a change. */
export function policySource(
  change: (sent: SentPolicy) => unknown = () => {},
): string {
  const [key, otherKey] = CHECK_KEYS;
  const sent = fleetPolicy({ version: 5, keys: [key], otherKeys: [otherKey] });
  change(sent);
  return JSON.stringify(sent, null, 2);
}

/**
 * Throws if a text contains a key.
 * @throws Error that names the key.
 */
export function throwIfKeys(text: string): void {
  const found = CHECK_KEYS.find((key) => text.includes(key));
  if (found !== undefined) throw new Error(`Key ${found} in: ${text}`);
}

/** Runs the command over files in a folder of its own. */
export class CheckRuns {
  /** Folder of the files. */
  readonly folder = mkdtempSync(join(tmpdir(), "check-"));

  /** Writes a file and returns its path. */
  write(source: string, name = "fleet.json"): string {
    const file = join(this.folder, name);
    writeFileSync(file, source);
    return file;
  }

  /**
   * Runs the command.
   * @throws Error if its output contains a key.
   */
  async run(...args: string[]): Promise<CheckOutcome> {
    const outcome = await new Promise<CheckOutcome>((resolve) =>
      execFile(
        process.execPath,
        [PROGRAM, "check", ...args],
        (error, stdout, stderr) =>
          resolve({ code: Number(error?.code ?? 0), stdout, stderr }),
      )
    );
    throwIfKeys(outcome.stdout + outcome.stderr);
    return outcome;
  }

  /** Removes the folder. */
  remove(): void {
    rmSync(this.folder, { recursive: true });
  }
}
