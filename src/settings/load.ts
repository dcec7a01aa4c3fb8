/** Reads settings and documents from files. */
import { readFileSync } from "node:fs";
import {
  checkDocument,
  type CheckResult,
  type ConfigurationDocument,
  type Fault,
  toFaults,
} from "../core/configuration/mod.ts";
import { NutmegreelError } from "../core/errors/mod.ts";
import { type FleetSettings, fleetSettingsSchema } from "./fleet_settings.ts";
import { type Settings, settingsSchema } from "./settings.ts";

/** Represents a file that cannot be used, with all its faults. */
export class FaultyFileError extends NutmegreelError {
  /** Faults in the order in which they stand. */
  readonly faults: readonly Fault[];

  /**
   * Creates the error.
   * @param file - Path of the file.
   * @param faults - Every fault found.
   */
  constructor(file: string, faults: readonly Fault[]) {
    const lines = faults.map((f) => `  ${f.path || "(document)"}: ${f.reason}`);
    super("faultyFile", [`Faults in ${file}`, ...lines].join("\n"));
    this.faults = faults;
  }
}

/**
 * Reads and checks the settings of an instance.
 *
 * @example
 * ```ts
 * const settings = loadSettings("examples/dierdienst/nl-1-a.json");
 * ```
 * @throws FaultyFileError with every fault.
 */
export function loadSettings(file: string): Settings {
  return orThrow(file, checkSettings(readJsonOrThrow(file)));
}

/** Checks settings and gets them, or every fault. */
export function checkSettings(input: unknown): CheckResult<Settings> {
  const parsed = settingsSchema.safeParse(input);
  if (!parsed.success) return { ok: false, faults: toFaults(parsed.error) };
  const faults = checkPeers(parsed.data);
  if (faults.length > 0) return { ok: false, faults };
  return { ok: true, value: parsed.data };
}

/**
 * Reads and checks the settings of an instance of a fleet.
 * @throws FaultyFileError with every fault.
 */
export function loadFleetSettings(file: string): FleetSettings {
  const parsed = fleetSettingsSchema.safeParse(readJsonOrThrow(file));
  if (parsed.success) return parsed.data;
  throw new FaultyFileError(file, toFaults(parsed.error));
}

/** Reads and checks a configuration document. */
export function loadDocument(file: string): ConfigurationDocument {
  return orThrow(file, checkDocument(readJsonOrThrow(file)));
}

/** Reads a secret from a file, without surrounding white space. */
export function readSecretOrThrow(file: string): string {
  const text = readTextOrThrow(file).trim();
  if (text.length > 0) return text;
  throw new FaultyFileError(file, [{ path: "", reason: "Expected a secret" }]);
}

/** Reads a JSON file. */
export function readJsonOrThrow(file: string): unknown {
  const text = readTextOrThrow(file);
  try {
    return JSON.parse(text);
  } catch (err) {
    const reason = `Expected JSON: ${(err as Error).message}`;
    throw new FaultyFileError(file, [{ path: "", reason }]);
  }
}

function readTextOrThrow(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    const reason = `Cannot read: ${(err as Error).message}`;
    throw new FaultyFileError(file, [{ path: "", reason }]);
  }
}

function checkPeers(settings: Settings): Fault[] {
  if (settings.peers.length === 0) return [];
  const faults: Fault[] = [];
  const own = settings.peers.find((peer) => peer.id === settings.id);
  if (own === undefined) {
    faults.push({ path: "peers", reason: "Expected this instance among them" });
  }
  if (own !== undefined && own.dataCentre !== settings.dataCentre) {
    faults.push({ path: "dataCentre", reason: "Differs from that in peers" });
  }
  if (own?.control === true && settings.dataFolder === undefined) {
    const reason = "An instance of the control log needs one";
    faults.push({ path: "dataFolder", reason });
  }
  if (settings.peerListen === undefined) {
    faults.push({ path: "peerListen", reason: "Expected one beside peers" });
  }
  const isPlain = settings.tls.peers === undefined;
  if (isPlain && settings.peerSecretFile === undefined) {
    const reason = "Peers prove themselves by this or by tls.peers";
    faults.push({ path: "peerSecretFile", reason });
  }
  return faults;
}

function orThrow<T>(file: string, result: CheckResult<T>): T {
  if (result.ok) return result.value;
  throw new FaultyFileError(file, result.faults);
}
