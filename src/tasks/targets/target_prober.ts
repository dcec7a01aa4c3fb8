/** Asks targets for their health. */
import { type Agent, request } from "undici";
import type { LoadReport, TargetAnnouncement } from "../../core/routing/mod.ts";
import { healthSchema } from "../../protocol/mod.ts";

/** A target's answer to a probe. */
export interface HealthAnswer {
  readonly type: "answered";
  /** Changes whenever the target's process starts again. */
  readonly incarnation: string;
  /** Load. */
  readonly load: LoadReport;
  /** Version of the loaded weights. */
  readonly weightVersion?: number;
}

/** Result of a probe. */
export type ProbeResult =
  | HealthAnswer
  /** Nobody listens at the address: the process is not there. */
  | { readonly type: "refused" }
  /** No answer in time, or one that makes no sense. */
  | { readonly type: "silent" };

/** Options of {@link TargetProber}. */
export interface TargetProberOptions {
  /** Connections to targets. */
  readonly agent: Agent;
  /** Time allowed, in milliseconds. */
  readonly timeoutMs: number;
  /** Credential presented to targets. */
  readonly credential?: string;
}

/** Path at which a target answers probes. */
const HEALTH_PATH = "/health";

/** Probes targets; two probes of one target at once share an answer. */
export class TargetProber {
  readonly #options: TargetProberOptions;
  readonly #running = new Map<string, Promise<ProbeResult>>();

  /** Creates a prober. */
  constructor(options: TargetProberOptions) {
    this.#options = options;
  }

  /** Probes a target. */
  probe(announcement: TargetAnnouncement): Promise<ProbeResult> {
    const { id } = announcement;
    const running = this.#running.get(id);
    if (running !== undefined) return running;
    const probe = this.#probe(announcement)
      .finally(() => this.#running.delete(id));
    this.#running.set(id, probe);
    return probe;
  }

  async #probe(announcement: TargetAnnouncement): Promise<ProbeResult> {
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
