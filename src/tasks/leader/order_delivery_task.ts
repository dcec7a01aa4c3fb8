/** Delivery of orders and usage reports by the control leader. */
import { Agent } from "undici";
import {
  canonicalJson,
  type OrderEntry,
  type UsageReport,
} from "../../core/control/mod.ts";
import {
  type LeadershipStatus,
  type OrderSend,
  OrderSender,
} from "../../core/orders/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { readSecretOrThrow, type Settings } from "../../settings/mod.ts";
import { CONSENSUS_TIMING, type ControlTask } from "../control/control_task.ts";
import { ReceiverClient } from "./receiver_client.ts";

/** Options of {@link OrderDeliveryTask}. */
export interface OrderDeliveryTaskOptions {
  readonly settings: Settings;
  readonly control: ControlTask;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Name of the receiver of usage reports. */
export const USAGE_RECEIVER = "usage";
/** Name of the receiver of orders for targets. */
export const PLATFORM_RECEIVER = "platform";

const POLL_INTERVAL_MS = 200;
const MAX_SEND_MS = 1_000;
/** Maximum number of concurrent sends. */
const MAX_IN_FLIGHT = 16;

/**
 * Sends open orders and usage reports to the platform while this instance leads
 * the control log and holds its lease.
 */
export class OrderDeliveryTask {
  readonly #options: OrderDeliveryTaskOptions;
  readonly #sender: OrderSender;
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #client: ReceiverClient;
  #timer: NodeJS.Timeout | undefined;
  #inFlight = 0;

  /** Creates the task; call {@link start} to run it. */
  constructor(options: OrderDeliveryTaskOptions) {
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
        leaseMs: CONSENSUS_TIMING.electionMs,
        longestSendMs: MAX_SEND_MS,
        clockRateError: CONSENSUS_TIMING.clockRateError,
      },
    });
  }

  /** Starts polling for open orders. */
  start(): void {
    this.#timer = setInterval(() => this.#sendDueOrders(), POLL_INTERVAL_MS);
  }

  /** Stops polling and closes the connections. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#agent.destroy();
  }

  #getLeadershipStatus(): LeadershipStatus {
    const { control, now } = this.#options;
    const { driver } = control;
    const node = driver?.node;
    if (driver === undefined || !driver.isReady || node === undefined) {
      return { term: undefined, leaseEnd: -Infinity };
    }
    return { term: node.term, leaseEnd: node.leaseEnd(now()) };
  }

  #sendDueOrders(): void {
    const { control, now } = this.#options;
    const leadership = this.#getLeadershipStatus();
    if (leadership.term === undefined) {
      this.#sender.due([], leadership, now());
      return;
    }
    const availableSends = Math.max(0, MAX_IN_FLIGHT - this.#inFlight);
    const open = [...control.state.openOrders, ...this.#getOpenReports()]
      .filter(({ order }) => this.#client.hasReceiver(order.receiver))
      .slice(0, availableSends);
    for (const send of this.#sender.due(open, leadership, now())) {
      this.#sendOrder(send).catch((err) => this.#options.logger.error(err));
    }
  }

  #getOpenReports(): OrderEntry[] {
    return this.#options.control.state.usage
      .filter((report) => !report.isReported)
      .map((report) => toReportOrder(report));
  }

  async #sendOrder(send: OrderSend): Promise<void> {
    const { logger, metrics, now, control } = this.#options;
    const { order, fencing, attempt } = send;
    const timeoutMs = this.#sender.timeoutFor(
      this.#getLeadershipStatus(),
      now(),
    );
    if (timeoutMs <= 0) {
      this.#sender.onFailed(order.id, now());
      return;
    }
    this.#inFlight += 1;
    metrics.count("orders.sent");
    const { term } = fencing;
    logger.event("orderSent", { order: order.id, term, attempt });
    const outcome = await this.#client.send({
      order,
      fencing,
      isRepeated: true,
      timeoutMs,
    }).finally(() => {
      this.#inFlight -= 1;
    });
    if (outcome === undefined) {
      logger.event("orderFailed", { order: order.id });
      this.#sender.onFailed(order.id, now());
      return;
    }
    logger.event("orderEnded", { order: order.id, outcome });
    try {
      await control.propose(toOutcomeCommand(order.id, outcome));
      this.#sender.onEnded(order.id);
    } catch {
      this.#sender.onFailed(order.id, now());
    }
  }
}

const REPORT_ID_PREFIX = "usage/";

/**
 * Creates the order that sends a usage report. It is built from canonical JSON,
 * so that a repeated report is identical to the byte.
 */
function toReportOrder(report: UsageReport): OrderEntry {
  const { dataCentre, sealed } = report;
  const body = JSON.parse(canonicalJson({ dataCentre, ...sealed }));
  const id = `${REPORT_ID_PREFIX}${dataCentre}/${sealed.window}`;
  return { order: { id, receiver: USAGE_RECEIVER, body }, sequence: 0 };
}

function toOutcomeCommand(
  id: string,
  outcome: "done" | "refused" | "abandoned",
) {
  if (!id.startsWith(REPORT_ID_PREFIX)) {
    return { type: "orderOutcome" as const, id, outcome };
  }
  const [dataCentre, window] = id.slice(REPORT_ID_PREFIX.length).split("/");
  return {
    type: "usageReported" as const,
    dataCentre,
    window: Number(window),
  };
}
