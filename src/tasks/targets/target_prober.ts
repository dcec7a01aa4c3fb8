/** Health probes of single targets. */
import { type Agent, request } from "undici";
import type { LoadReport, TargetAnnouncement } from "../../core/routing/mod.ts";
import { healthSchema } from "../../protocol/mod.ts";

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
  readonly agent: Agent;
  /** Timeout of a probe, in milliseconds. */
  readonly timeoutMs: number;
  /** Bearer token sent to targets. */
  readonly credential?: string;
}

const HEALTH_PATH = "/health";

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
    const { agent, timeoutMs, credential } = this.#options;
    const url = announcement.url.replace(/\/$/, "") + HEALTH_PATH;
    try {
      const res = await request(url, {
        dispatcher: agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: credential === undefined
          ? {}
          : { authorization: `Bearer ${credential}` },
      });
      const health = healthSchema.safeParse(await res.body.json());
      if (res.statusCode !== 200 || !health.success) return { type: "silent" };
      const { incarnation, running, waiting, weightVersion } = health.data;
      const at = Date.now();
      return {
        type: "answered",
        incarnation,
        load: { running, waiting, at },
        weightVersion,
      };
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      return { type: code === "ECONNREFUSED" ? "refused" : "silent" };
    }
  }
}
