/** Fake target of the platform: an engine or a plain service. */
import { randomBytes } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { request } from "undici";
import { sleep } from "./engine.ts";
import { eventCountOf, eventDataOf, FIRST_SOFTWARE } from "./fleet_text.ts";

/** Options of {@link FleetReplica}. */
export interface FleetReplicaOptions {
  readonly service: string;
  readonly zone: string;
  /** Models of an engine; empty for a plain service. */
  readonly models: readonly string[];
  /** Maximum number of concurrent requests; further ones are refused. */
  readonly slots: number;
  /** Gets the addresses of control instances for heartbeats. */
  readonly controls: () => readonly string[];
  /** Time per event of a run, or per plain response, in milliseconds. */
  readonly workMs: number;
  /** Time to load weights, in milliseconds. */
  readonly loadMs: number;
  /** Whether orders with a lower fencing token are refused. */
  readonly isFencingEnabled: boolean;
}

/** A request that a target started to run. */
export interface ReplicaRun {
  readonly request: string;
  /** Incarnation of the target that ran it. */
  readonly target: string;
  readonly workspace: string;
  /** Number of the last event that the recipient already has. */
  readonly resumeAfter: number;
  /** Weight versions that generated its events. */
  readonly versions: Set<number>;
  readonly startedAt: number;
  /** Time at which the output was complete; undefined until then. */
  completedAt?: number;
}

/** A received order to load weights. */
export interface ReplicaOrder {
  /** Incarnation of the target that received it. */
  readonly target: string;
  readonly holder: string;
  readonly fence: number;
  readonly at: number;
}

const HEARTBEAT_INTERVAL_MS = 300;
const HEARTBEAT_TIMEOUT_MS = 700;
const FIRST_VERSION = 1;
/** Comments of which a flooding target sends 13 MB a second to each request. */
const FLOOD = ": c\n".repeat(16_384);
const FLOOD_INTERVAL_MS = 5;

/** Serves requests, sends heartbeats and carries out orders to load weights. */
export class FleetReplica {
  /** Runs, in order of their start. */
  readonly runs: ReplicaRun[] = [];
  readonly orders: ReplicaOrder[] = [];
  readonly #options: FleetReplicaOptions;
  #id = "";
  #bornAt = 0;
  #sequence = 0;
  #server: Server | undefined;
  #address = "";
  readonly #sockets = new Set<Socket>();
  readonly #versions = new Map<string, number>();
  #loadingModel: string | undefined;
  #acceptedOrderCount = 0;
  #highestFence = 0;
  #activeRequestCount = 0;
  #state: "ready" | "draining" = "ready";
  #runningSoftware = FIRST_SOFTWARE;
  #heartbeatTimer: NodeJS.Timeout | undefined;
  /** Factor on the time per event or response. */
  slowdownFactor = 1;
  /** Whether requests stay without a response. */
  isSilent = false;
  /** Whether each response is a stream of comments without end. */
  floods = false;
  /** Whether connections are closed in place of responses. */
  closes = false;
  /** Whether responses say that the target leaves; its heartbeats do not. */
  saysLeaving = false;
  /** Bytes that each plain response has beside its text. */
  answerBytes = 0;
  /** Requests a second that responses name as the limit; none by default. */
  maxPerSecond: number | undefined;
  /** Time for which the target is cold from its next start on. */
  coldMs = 0;
  #coldUntil = 0;
  /** Times at which requests arrived while the target was cold. */
  readonly coldArrivals: number[] = [];
  /** Times at which requests arrived, other than for its state and orders. */
  readonly arrivals: number[] = [];
  /** Whether the target sends no heartbeats, as if cut off from control. */
  withholdsHeartbeats = false;
  /** Software version from the next start on, stamped into all events. */
  software = FIRST_SOFTWARE;
  /** Selects the plain requests that the target runs and fails. */
  fails: (request: string) => boolean = () => false;
  /** Selects the paths of plain requests that end the target running them. */
  crashesOn: (path: string) => boolean = () => false;
  /** Called when a request has ended the target. */
  onCrashed: () => void = () => {};

  /** Creates a target; {@link FleetReplica.start} makes it listen. */
  constructor(options: FleetReplicaOptions) {
    this.#options = options;
    for (const model of options.models) {
      this.#versions.set(model, FIRST_VERSION);
    }
  }

  /** Gets the identifier of the current incarnation. */
  get id(): string {
    return this.#id;
  }

  /** Gets the host and port. */
  get address(): string {
    return this.#address;
  }

  /** Gets whether the running process sends heartbeats to control instances. */
  get sendsHeartbeats(): boolean {
    return !this.withholdsHeartbeats && !this.isSilent;
  }

  /** Gets the loaded version of a model; 0 where it is unknown. */
  versionOf(model: string): number {
    return this.#versions.get(model) ?? 0;
  }

  /** Gets whether the target takes few requests a second. */
  get isCold(): boolean {
    return Date.now() < this.#coldUntil;
  }

  /** Gets the most requests that arrived in any second while it was cold. */
  get mostColdPerSecond(): number {
    const counts = this.coldArrivals.map((end) =>
      this.coldArrivals.filter((at) => at > end - 1_000 && at <= end).length
    );
    return Math.max(0, ...counts);
  }

  /** Makes the running process cold; its next heartbeat says so. */
  becomeCold(durationMs: number): this {
    this.#coldUntil = Date.now() + durationMs;
    return this;
  }

  /** Starts a new incarnation, which keeps the loaded weights. */
  async start(): Promise<this> {
    this.#id = `i-${randomBytes(5).toString("hex")}`;
    return await this.#listen(0);
  }

  /** Starts a new incarnation under the identifier and address of the last. */
  async restart(): Promise<this> {
    return await this.#listen(Number(this.#address.split(":")[1]));
  }

  async #listen(port: number): Promise<this> {
    this.#runningSoftware = this.software;
    this.#bornAt = Date.now();
    this.#coldUntil = this.#bornAt + this.coldMs;
    this.#sequence = 0;
    this.#acceptedOrderCount = 0;
    this.#highestFence = 0;
    this.#loadingModel = undefined;
    this.#activeRequestCount = 0;
    this.#state = "ready";
    const server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    this.#server = server;
    this.#address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.#heartbeatTimer = setInterval(
      () => this.#sendHeartbeat(),
      HEARTBEAT_INTERVAL_MS,
    );
    this.#sendHeartbeat();
    return this;
  }

  /** Resets all connections and stops, without a deregistration. */
  crash(): void {
    clearInterval(this.#heartbeatTimer);
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#sockets.clear();
  }

  /**
   * Reports the state `draining`, and continues to serve requests.
   * @returns Whether a control instance accepted the report.
   */
  async drain(): Promise<boolean> {
    this.#state = "draining";
    return await this.#sendHeartbeat();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk);
    if (this.isSilent) return;
    if (this.saysLeaving) res.setHeader("server-leaving", "1");
    if (this.maxPerSecond !== undefined) {
      res.setHeader("server-limit", String(this.maxPerSecond));
    }
    if (this.isCold) res.setHeader("cold-ms", String(this.#coldLeftMs));
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.#id) {
      res.writeHead(421, { "instance-id": this.#id }).end();
      return;
    }
    if (req.url === "/-/report") return this.#respondReport(res);
    if (req.url === "/-/order") {
      return this.#handleOrder(
        res,
        JSON.parse(Buffer.concat(chunks).toString()),
      );
    }
    this.arrivals.push(Date.now());
    if (this.closes) return void res.destroy();
    if (this.floods) return await this.#flood(req, res);
    if (this.isCold) this.coldArrivals.push(Date.now());
    if (this.#activeRequestCount >= this.#options.slots) {
      res.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    this.#activeRequestCount += 1;
    try {
      if (this.#options.models.length === 0) await this.#respondPlain(req, res);
      else await this.#generate(req, res);
    } finally {
      this.#activeRequestCount -= 1;
    }
  }

  async #flood(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#recordRun(req);
    res.writeHead(200, {
      "request-id": String(req.headers["request-id"]),
      "server-stamp": this.#id,
      "content-type": "text/event-stream",
    });
    while (!res.destroyed) {
      if (!res.writableNeedDrain) res.write(FLOOD);
      await sleep(FLOOD_INTERVAL_MS);
    }
  }

  async #respondPlain(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const run = this.#recordRun(req);
    await sleep(this.#options.workMs * this.slowdownFactor);
    if (this.crashesOn(req.url ?? "")) {
      this.crash();
      this.onCrashed();
      return;
    }
    const body = `answer to ${run.request}`.padEnd(this.answerBytes);
    res.writeHead(this.fails(run.request) ? 500 : 200, {
      "request-id": run.request,
      "server-stamp": `${this.#id}.${run.request}`,
      "content-length": String(body.length),
    });
    res.end(body);
  }

  async #generate(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const model = String(req.headers.model);
    if (this.#loadingModel === model) {
      res.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    const run = this.#recordRun(req);
    let version = this.versionOf(model);
    res.writeHead(200, {
      "request-id": run.request,
      "server-stamp": this.#id,
      "content-type": "text/event-stream",
      "weight-versions": String(version),
    });
    // A caller that takes a stream up names the request of its first event.
    const output = String(req.headers.resumes ?? run.request);
    const software = this.#runningSoftware;
    const total = eventCountOf(output);
    for (let event = run.resumeAfter + 1; event <= total; event += 1) {
      await sleep(this.#options.workMs * this.slowdownFactor);
      while (this.isSilent) await sleep(this.#options.workMs);
      if (res.destroyed) return;
      const currentVersion = this.versionOf(model);
      const change = currentVersion === version
        ? ""
        : `weight-versions: ${currentVersion}\n`;
      version = currentVersion;
      run.versions.add(currentVersion);
      const data = eventDataOf(output, event, software);
      res.write(`${change}id: ${event}\ndata: ${data}\n\n`);
    }
    run.completedAt = Date.now();
    res.end();
  }

  #recordRun(req: IncomingMessage): ReplicaRun {
    const run: ReplicaRun = {
      request: String(req.headers["request-id"]),
      target: this.#id,
      workspace: String(req.headers.tenant ?? ""),
      resumeAfter: Number(req.headers["last-event-id"] ?? 0),
      versions: new Set(),
      startedAt: Date.now(),
    };
    this.runs.push(run);
    return run;
  }

  #respondReport(res: ServerResponse): void {
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({
      born: this.#bornAt,
      busy: this.#loadingModel !== undefined,
      seq: this.#acceptedOrderCount,
      models: this.#modelList(),
    }));
  }

  #handleOrder(
    res: ServerResponse,
    order: {
      holder: string;
      fence: number;
      expect?: number;
      model: string;
      version: number;
    },
  ): void {
    this.orders.push({
      target: this.#id,
      holder: order.holder,
      fence: order.fence,
      at: Date.now(),
    });
    res.writeHead(this.#applyOrder(order)).end();
  }

  #applyOrder(
    order: { fence: number; expect?: number; model: string; version: number },
  ): number {
    if (this.#options.isFencingEnabled && order.fence < this.#highestFence) {
      return 412;
    }
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    const isStale = order.expect !== undefined &&
      order.expect !== this.#acceptedOrderCount;
    if (this.#loadingModel !== undefined || isStale) return 409;
    if (this.versionOf(order.model) >= order.version) return 200;
    this.#acceptedOrderCount += 1;
    this.#loadingModel = order.model;
    const bornAt = this.#bornAt;
    setTimeout(() => {
      if (this.#bornAt !== bornAt) return;
      this.#versions.set(order.model, order.version);
      this.#loadingModel = undefined;
    }, this.#options.loadMs);
    return 202;
  }

  #modelList(): { name: string; version: number; adapters: string[] }[] {
    return [...this.#versions]
      .map(([name, version]) => ({ name, version, adapters: [] }));
  }

  /** Sends a heartbeat to control instances in turn until one accepts it. */
  async #sendHeartbeat(): Promise<boolean> {
    if (this.withholdsHeartbeats) return false;
    const body = JSON.stringify(this.createHeartbeat());
    const controls = this.#options.controls();
    const first = this.#sequence % Math.max(1, controls.length);
    for (let i = 0; i < controls.length; i += 1) {
      const control = controls[(first + i) % controls.length];
      try {
        const response = await request(
          `http://${control}/-/Instances.Heartbeat/${this.#id}`,
          {
            method: "POST",
            body,
            signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
          },
        );
        await response.body.dump();
        if (response.statusCode === 200) return true;
      } catch {
        // Targets of the platform try the next control instance, too.
      }
    }
    return false;
  }

  get #coldLeftMs(): number {
    return Math.max(0, this.#coldUntil - Date.now());
  }

  /** Gets the time of the last start, in milliseconds since the Unix epoch. */
  get bornAt(): number {
    return this.#bornAt;
  }

  /** Creates the next heartbeat, by default with the state of the target. */
  createHeartbeat(state = this.#state): unknown {
    this.#sequence += 1;
    return {
      service: this.#options.service,
      address: this.#address,
      zone: this.#options.zone,
      version: this.#runningSoftware,
      slots: this.#options.slots,
      state,
      coldLeftMs: this.#coldLeftMs,
      models: this.#modelList(),
      seq: this.#sequence,
      born: this.#bornAt,
    };
  }
}
