/** Health probes of single targets. */
import type { LoadReport, TargetAnnouncement } from "../../core/routing/mod.ts";
import { healthSchema } from "../../protocol/mod.ts";
import type { TargetConnections } from "../paths/mod.ts";
import { MAX_CONNECTIONS_PER_TARGET } from "./exchange.ts";
import { parseTargetUrl } from "./target_url.ts";

/** Health reported by a target in response to a probe. */
export interface HealthResponse {
  readonly type: "answered";
  /** Identifier that changes whenever the target's process restarts. */
  readonly incarnation: string;
  readonly load: LoadReport;
  /** Version of the loaded weights. */
  readonly weightVersion?: number;
}

/** Result of a probe. */
export type ProbeResult =
  | HealthResponse
  /** The connection was refused: the process is not running. */
  | { readonly type: "refused" }
  /** The probe timed out, failed otherwise or got an invalid response. */
  | { readonly type: "silent" };

/** Options of {@link TargetProber}. */
export interface TargetProberOptions {
  readonly connections: TargetConnections;
  /** Timeout of a probe, in milliseconds. */
  readonly timeoutMs: number;
  /** Bearer token sent to targets. */
  readonly credential?: string;
}

const HEALTH_PATH = "/health";
const OK_STATUS = 200;

/** Probes targets; concurrent probes of the same target share one request. */
export class TargetProber {
  readonly #options: TargetProberOptions;
  readonly #inFlightProbes = new Map<string, Promise<ProbeResult>>();

  constructor(options: TargetProberOptions) {
    this.#options = options;
  }

  /** Probes a target; never rejects. */
  probe(announcement: TargetAnnouncement): Promise<ProbeResult> {
    const { id } = announcement;
    const running = this.#inFlightProbes.get(id);
    if (running !== undefined) return running;
    const probe = this.#sendProbe(announcement)
      .finally(() => this.#inFlightProbes.delete(id));
    this.#inFlightProbes.set(id, probe);
    return probe;
  }

  async #sendProbe(announcement: TargetAnnouncement): Promise<ProbeResult> {
    const { connections, timeoutMs, credential } = this.#options;
    const { address, isSecure, path } = parseTargetUrl(
      announcement.url.replace(/\/$/, "") + HEALTH_PATH,
    );
    const signal = AbortSignal.timeout(timeoutMs);
    const options = {
      maxConnections: MAX_CONNECTIONS_PER_TARGET,
      isSecure,
      signal,
    };
    const headers: Record<string, string> = credential === undefined
      ? {}
      : { authorization: `Bearer ${credential}` };
    try {
      return await connections.use(address, options, async (connection) => {
        const res = await connection.client
          .request({ method: "GET", path, headers, signal });
        const body = await res.body.json();
        connection.markComplete();
        return decodeHealth(res.statusCode, body);
      });
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      return { type: code === "ECONNREFUSED" ? "refused" : "silent" };
    }
  }
}

function decodeHealth(status: number, body: unknown): ProbeResult {
  const health = healthSchema.safeParse(body);
  if (status !== OK_STATUS || !health.success) return { type: "silent" };
  const { incarnation, running, waiting, weightVersion } = health.data;
  return {
    type: "answered",
    incarnation,
    load: { running, waiting, at: Date.now() },
    weightVersion,
  };
}
