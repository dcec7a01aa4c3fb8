/** Initial configuration and keys of an empty control log. */
import { SECTION_NAMES } from "../../core/configuration/mod.ts";
import type { KeyRecord } from "../../core/keys/mod.ts";
import {
  loadDocument,
  readJsonOrThrow,
  type Settings,
} from "../../settings/mod.ts";
import type { ControlPort } from "./control_port.ts";

const BOOTSTRAP_REQUEST_ID = "bootstrap";

/**
 * Proposes the configuration of the settings if the log has none, and each key
 * of the settings that it does not hold.
 */
export async function bootstrapControl(
  control: ControlPort,
  settings: Settings,
): Promise<void> {
  const { bootstrap } = settings;
  if (bootstrap === undefined) return;
  const { configuration, keys } = control.state;
  if (configuration.revision === 0) {
    const sections = loadDocument(bootstrap.configurationFile);
    const base = Object.fromEntries(SECTION_NAMES.map((name) => [name, 0]));
    await control.propose({
      type: "changeConfiguration",
      change: { requestId: BOOTSTRAP_REQUEST_ID, sections, base },
    });
  }
  if (bootstrap.keysFile === undefined) return;
  for (const key of readJsonOrThrow(bootstrap.keysFile) as KeyRecord[]) {
    if (keys.get(key.id) === undefined) {
      await control.propose({ type: "putKey", key });
    }
  }
}
