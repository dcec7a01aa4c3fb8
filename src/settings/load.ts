/** Reads and validates settings and configuration documents from files. */
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

/** Represents an invalid or unreadable file, with all its faults. */
export class FaultyFileError extends NutmegreelError {
  /** Faults in the order in which they were found. */
  readonly faults: readonly Fault[];

  /**
   * Creates the error.
   * @param file - Path of the file.
   * @param faults - All faults of the file.
   */
  constructor(file: string, faults: readonly Fault[]) {
    const lines = faults.map((f) => `  ${f.path || "(document)"}: ${f.reason}`);
    super("faultyFile", [`Faults in ${file}`, ...lines].join("\n"));
    this.faults = faults;
  }
}

/**
 * Reads and validates the settings of an instance.
 *
 * @example
 * ```ts
 * const settings = loadSettings("examples/dierdienst/nl-1-a.json");
 * ```
 * @throws FaultyFileError if the file cannot be read or is invalid.
 */
export function loadSettings(file: string): Settings {
  return getValueOrThrow(file, checkSettings(readJsonOrThrow(file)));
}

/** Validates settings; returns them, or all faults. */
export function checkSettings(input: unknown): CheckResult<Settings> {
  const parsed = settingsSchema.safeParse(input);
  if (!parsed.success) return { ok: false, faults: toFaults(parsed.error) };
  const faults = findPeerFaults(parsed.data);
  if (faults.length > 0) return { ok: false, faults };
  return { ok: true, value: parsed.data };
}

/**
 * Reads and validates the settings of an instance of a fleet.
 * @throws FaultyFileError if the file cannot be read or is invalid.
 */
export function loadFleetSettings(file: string): FleetSettings {
  const parsed = fleetSettingsSchema.safeParse(readJsonOrThrow(file));
  if (parsed.success) return parsed.data;
  throw new FaultyFileError(file, toFaults(parsed.error));
}

/**
 * Reads and validates a configuration document.
 * @throws FaultyFileError if the file cannot be read or is invalid.
 */
export function loadDocument(file: string): ConfigurationDocument {
  return getValueOrThrow(file, checkDocument(readJsonOrThrow(file)));
}

/**
 * Reads a secret from a file and trims surrounding white space.
 * @throws FaultyFileError if the file cannot be read or is empty.
 */
export function readSecretOrThrow(file: string): string {
  const text = readTextOrThrow(file).trim();
  if (text.length > 0) return text;
  throw new FaultyFileError(file, [{
    path: "",
    reason: "Expected a secret, got an empty file",
  }]);
}

/**
 * Reads and parses a JSON file without validating its content.
 * @throws FaultyFileError if the file cannot be read or is not JSON.
 */
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
    const reason = `Cannot read the file: ${(err as Error).message}`;
    throw new FaultyFileError(file, [{ path: "", reason }]);
  }
}

function findPeerFaults(settings: Settings): Fault[] {
  if (settings.peers.length === 0) return [];
  const faults: Fault[] = [];
  const own = settings.peers.find((peer) => peer.id === settings.id);
  if (own === undefined) {
    faults.push({
      path: "peers",
      reason: "Expected an entry with the id of this instance",
    });
  }
  if (own !== undefined && own.dataCentre !== settings.dataCentre) {
    faults.push({
      path: "dataCentre",
      reason: "Expected the data centre of this instance's entry in peers",
    });
  }
  if (own?.control === true && settings.dataFolder === undefined) {
    const reason = "Required if this instance's entry in peers sets control";
    faults.push({ path: "dataFolder", reason });
  }
  if (settings.peerListen === undefined) {
    faults.push({
      path: "peerListen",
      reason: "Required if peers is not empty",
    });
  }
  const needsPeerSecret = settings.tls.peers === undefined;
  if (needsPeerSecret && settings.peerSecretFile === undefined) {
    const reason =
      "Required unless tls.peers is set: peers authenticate by either";
    faults.push({ path: "peerSecretFile", reason });
  }
  return faults;
}

function getValueOrThrow<T>(file: string, result: CheckResult<T>): T {
  if (result.ok) return result.value;
  throw new FaultyFileError(file, result.faults);
}
