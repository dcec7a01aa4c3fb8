/** What callers may do: keys, fenced workspaces and limits of bodies. */
import type { IncomingMessage } from "node:http";
import { ConfigurationView } from "../../core/configuration/mod.ts";
import type { KeyRecord } from "../../core/keys/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { Settings } from "../../settings/mod.ts";
import type { ControlPort } from "../control/control_port.ts";
import { authenticateOrThrow, getPresentedKey } from "./caller.ts";
import { readBody } from "./http_body.ts";

/** Options of {@link CallerAccess}. */
export interface CallerAccessOptions {
  readonly settings: Pick<Settings, "http">;
  readonly control: Pick<ControlPort, "state" | "mayServe">;
}

/** Retry delay while this data centre is cut off from the control log. */
const FENCED_RETRY_AFTER_MS = 2_000;

/** Authenticates callers against the state of the control log. */
export class CallerAccess {
  readonly #options: CallerAccessOptions;

  constructor(options: CallerAccessOptions) {
    this.#options = options;
  }

  /** Gets the configuration in force. */
  get configuration(): ConfigurationView {
    const { document, revision } = this.#options.control.state.configuration;
    return new ConfigurationView(document, revision);
  }

  get #keys() {
    return this.#options.control.state.keys;
  }

  /**
   * Gets the key of a request; undefined if it presents none.
   * @throws RefusalError if the key is unknown or withdrawn.
   */
  authenticateIfPresented(req: IncomingMessage): KeyRecord | undefined {
    if (getPresentedKey(req) === undefined) return undefined;
    return authenticateOrThrow(req, this.#keys);
  }

  /**
   * Gets the key of a request.
   * @throws RefusalError without a valid key, or if this instance may not serve
   *     its workspace.
   */
  authenticateOrThrow(req: IncomingMessage): KeyRecord {
    const key = authenticateOrThrow(req, this.#keys);
    this.throwIfFenced(key.workspace);
    return key;
  }

  /**
   * Throws if the key of a request was withdrawn while its body was read or it
   * waited.
   */
  throwIfWithdrawn(key: KeyRecord | undefined): void {
    if (key === undefined || this.#keys.isLive(key.id)) return;
    throw new RefusalError(RefusalReason.KeyWithdrawn, Verdict.NotRun);
  }

  /**
   * Throws if this instance may be cut off from the control log. It must then
   * not serve the workspace, whose keys and routes may have changed.
   */
  throwIfFenced(workspace: string): void {
    if (this.#options.control.mayServe(workspace)) return;
    throw new RefusalError(RefusalReason.DataCentreFenced, Verdict.NotRun, {
      message: "This data centre is cut off from the control log",
      retryAfterMs: FENCED_RETRY_AFTER_MS,
    });
  }

  /** Reads the body of a request within the limits of the settings. */
  readBody(req: IncomingMessage): Promise<Buffer> {
    const { maxBodyBytes, bodyTimeoutMs } = this.#options.settings.http;
    return readBody(req, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs });
  }
}
