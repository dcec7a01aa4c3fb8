/** What only the control leader does: orders and usage reports. */
import { Agent } from "undici";
import {
  canonicalJson,
  type OrderEntry,
  type UsageReport,
} from "../../core/control/mod.ts";
import {
  type OrderSend,
  OrderSender,
  type Standing,
} from "../../core/orders/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { readSecretOrThrow, type Settings } from "../../settings/mod.ts";
import { CONSENSUS_TIMES, type ControlTask } from "../control/control_task.ts";
import { ReceiverClient } from "./receiver_client.ts";

/** Options of {@link ChargeTask}. */
export interface ChargeTaskOptions {
  /** Settings of the instance. */
  readonly settings: Settings;
  /** Control log. */
  readonly control: ControlTask;
  /** Logs. */
  readonly logger: Logger;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Gets the local, steady clock in milliseconds. */
  readonly now: () => number;
}

/** Receiver of usage reports. */
export const USAGE_RECEIVER = "usage";
/** Receiver of orders of targets. */
export const PLATFORM_RECEIVER = "platform";

const LOOK_MS = 200;
const LONGEST_SEND_MS = 1_000;
/** Sends that run at once. */
const MAX_SENDING = 16;

/** Sends what is open while the lease of the leader holds. */
export class ChargeTask {
  readonly #options: ChargeTaskOptions;
  readonly #sender: OrderSender;
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #client: ReceiverClient;
  #timer: NodeJS.Timeout | undefined;
  #sending = 0;

  /** Creates the task; it does not run yet. */
  constructor(options: ChargeTaskOptions) {
    this.#options = options;
    const { platform } = options.settings;
    const urls: Record<string, string> = {};
    if (platform?.ordersUrl !== undefined) {
      urls[PLATFORM_RECEIVER] = platform.ordersUrl;
    }
    if (platform?.usageUrl !== undefined) {
      urls[USAGE_RECEIVER] = platform.usageUrl;
    }
    this.#client = new ReceiverClient({
      agent: this.#agent,
      urls,
      credential: platform?.credentialFile === undefined
        ? undefined
        : readSecretOrThrow(platform.credentialFile),
    });
    this.#sender = new OrderSender({
      times: {
        leaseMs: CONSENSUS_TIMES.electionMs,
        longestSendMs: LONGEST_SEND_MS,
        clockRateError: CONSENSUS_TIMES.clockRateError,
      },
    });
  }

  /** Starts to look for what is open. */
  start(): void {
    this.#timer = setInterval(() => this.#look(), LOOK_MS);
  }

  /** Ends the timer and the connections. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#agent.destroy();
  }

  #standing(): Standing {
    const { control, now } = this.#options;
    const { driver } = control;
    const node = driver?.node;
    if (driver === undefined || !driver.isReady || node === undefined) {
      return { term: undefined, leaseEnd: -Infinity };
    }
    return { term: node.term, leaseEnd: node.leaseEnd(now()) };
  }

  #look(): void {
    const { control, now } = this.#options;
    const standing = this.#standing();
    if (standing.term === undefined) {
      this.#sender.due([], standing, now());
      return;
    }
    const room = Math.max(0, MAX_SENDING - this.#sending);
    const open = [...control.state.openOrders, ...this.#openReports()]
      .filter(({ order }) => this.#client.hasReceiver(order.receiver))
      .slice(0, room);
    for (const send of this.#sender.due(open, standing, now())) {
      this.#send(send).catch((err) => this.#options.logger.error(err));
    }
  }

  #openReports(): OrderEntry[] {
    return this.#options.control.state.usage
      .filter((report) => !report.isReported)
      .map((report) => reportOrder(report));
  }

  async #send(send: OrderSend): Promise<void> {
    const { logger, metrics, now, control } = this.#options;
    const { order, fencing, attempt } = send;
    const timeoutMs = this.#sender.timeoutFor(this.#standing(), now());
    if (timeoutMs <= 0) {
      this.#sender.onFailed(order.id, now());
      return;
    }
    this.#sending += 1;
    metrics.count("orders.sent");
    const { term } = fencing;
    logger.event("orderSent", { order: order.id, term, attempt });
    const outcome = await this.#client.send({
      order,
      fencing,
      isRepeated: true,
      timeoutMs,
    }).finally(() => {
      this.#sending -= 1;
    });
    if (outcome === undefined) {
      logger.event("orderFailed", { order: order.id });
      this.#sender.onFailed(order.id, now());
      return;
    }
    logger.event("orderEnded", { order: order.id, outcome });
    try {
      await control.propose(outcomeCommand(order.id, outcome));
      this.#sender.onEnded(order.id);
    } catch {
      this.#sender.onFailed(order.id, now());
    }
  }
}

const REPORT_PREFIX = "usage/";

/** The same window always makes the same report, to the byte. */
function reportOrder(report: UsageReport): OrderEntry {
  const { dataCentre, sealed } = report;
  const body = JSON.parse(canonicalJson({ dataCentre, ...sealed }));
  const id = `${REPORT_PREFIX}${dataCentre}/${sealed.window}`;
  return { order: { id, receiver: USAGE_RECEIVER, body }, sequence: 0 };
}

function outcomeCommand(id: string, outcome: "done" | "refused" | "abandoned") {
  if (!id.startsWith(REPORT_PREFIX)) {
    return { type: "orderOutcome" as const, id, outcome };
  }
  const [dataCentre, window] = id.slice(REPORT_PREFIX.length).split("/");
  return {
    type: "usageReported" as const,
    dataCentre,
    window: Number(window),
  };
}
