/** A stand-in for a target of the users' platform. */
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
import { eventsOf, pieceOf } from "./fleet_text.ts";

/** Options of {@link FleetReplica}. */
export interface FleetReplicaOptions {
  readonly service: string;
  readonly zone: string;
  /** Models of an engine; none for a plain service. */
  readonly models: readonly string[];
  readonly slots: number;
  /** Gets the control addresses to which it may report. */
  readonly controls: () => readonly string[];
  /** Time between two events of a run, or of a plain answer. */
  readonly workMs: number;
  readonly loadMs: number;
  /** Whether orders of former holders are refused. */
  readonly isFencing: boolean;
}

/** A run that a replica began. */
export interface ReplicaRun {
  readonly request: string;
  readonly workspace: string;
  readonly resumeAfter: number;
  /** Versions under which its events were made. */
  readonly versions: Set<number>;
  readonly beganAt: number;
}

/** An order that a replica was given. */
export interface ReplicaOrder {
  readonly holder: string;
  readonly fence: number;
  readonly at: number;
}

const BEAT_MS = 300;
const BEAT_TIMEOUT_MS = 700;
const FIRST_VERSION = 1;

/** Serves requests, reports itself and takes orders. */
export class FleetReplica {
  /** Runs in the order in which they began. */
  readonly runs: ReplicaRun[] = [];
  readonly orders: ReplicaOrder[] = [];
  readonly #options: FleetReplicaOptions;
  #id = "";
  #born = 0;
  #sequence = 0;
  #server: Server | undefined;
  #address = "";
  readonly #sockets = new Set<Socket>();
  readonly #versions = new Map<string, number>();
  #busy: string | undefined;
  #accepted = 0;
  #fence = 0;
  #active = 0;
  #state: "ready" | "draining" = "ready";
  #beatTimer: NodeJS.Timeout | undefined;
  /** Factor by which the replica is slower than usual. */
  slowness = 1;
  /** Whether it answers nothing at all. */
  isSilent = false;

  /** Creates a replica that does not run yet. */
  constructor(options: FleetReplicaOptions) {
    this.#options = options;
    for (const model of options.models) {
      this.#versions.set(model, FIRST_VERSION);
    }
  }

  /** Gets its identifier; each start has another. */
  get id(): string {
    return this.#id;
  }

  /** Gets its address. */
  get address(): string {
    return this.#address;
  }

  /** Gets the version of a model. */
  versionOf(model: string): number {
    return this.#versions.get(model) ?? 0;
  }

  /** Starts a new incarnation. */
  async start(): Promise<this> {
    this.#id = `i-${randomBytes(5).toString("hex")}`;
    this.#born = Date.now();
    this.#sequence = 0;
    this.#accepted = 0;
    this.#fence = 0;
    this.#busy = undefined;
    this.#active = 0;
    this.#state = "ready";
    const server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    this.#server = server;
    this.#address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.#beatTimer = setInterval(() => this.#beat(), BEAT_MS);
    this.#beat();
    return this;
  }

  /** Ends at once, without a word. */
  crash(): void {
    clearInterval(this.#beatTimer);
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#sockets.clear();
  }

  /** Says that it drains; it goes on serving. */
  async drain(): Promise<boolean> {
    this.#state = "draining";
    return await this.#beat();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk);
    if (this.isSilent) return;
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.#id) {
      res.writeHead(421, { "instance-id": this.#id }).end();
      return;
    }
    if (req.url === "/-/report") return this.#report(res);
    if (req.url === "/-/order") {
      return this.#order(res, JSON.parse(Buffer.concat(chunks).toString()));
    }
    if (this.#active >= this.#options.slots) {
      res.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    this.#active += 1;
    try {
      if (this.#options.models.length === 0) await this.#answer(req, res);
      else await this.#generate(req, res);
    } finally {
      this.#active -= 1;
    }
  }

  async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const run = this.#begin(req);
    await sleep(this.#options.workMs * this.slowness);
    const body = `answer to ${run.request}`;
    res.writeHead(200, {
      "request-id": run.request,
      "server-stamp": `${this.#id}.${run.request}`,
      "content-length": String(body.length),
    });
    res.end(body);
  }

  async #generate(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const model = String(req.headers.model);
    if (this.#busy === model) {
      res.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    const run = this.#begin(req);
    let version = this.versionOf(model);
    res.writeHead(200, {
      "request-id": run.request,
      "server-stamp": this.#id,
      "content-type": "text/event-stream",
      "weight-versions": String(version),
    });
    const total = eventsOf(run.request);
    for (let event = run.resumeAfter + 1; event <= total; event += 1) {
      await sleep(this.#options.workMs * this.slowness);
      while (this.isSilent) await sleep(this.#options.workMs);
      if (res.destroyed) return;
      const now = this.versionOf(model);
      const change = now === version ? "" : `weight-versions: ${now}\n`;
      version = now;
      run.versions.add(now);
      const data = pieceOf(run.request, event);
      res.write(`${change}id: ${event}\ndata: ${data}\n\n`);
    }
    res.end();
  }

  #begin(req: IncomingMessage): ReplicaRun {
    const run: ReplicaRun = {
      request: String(req.headers["request-id"]),
      workspace: String(req.headers.tenant ?? ""),
      resumeAfter: Number(req.headers["last-event-id"] ?? 0),
      versions: new Set(),
      beganAt: Date.now(),
    };
    this.runs.push(run);
    return run;
  }

  #report(res: ServerResponse): void {
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({
      busy: this.#busy !== undefined,
      seq: this.#accepted,
      models: this.#modelList(),
    }));
  }

  #order(
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
      holder: order.holder,
      fence: order.fence,
      at: Date.now(),
    });
    res.writeHead(this.#judge(order)).end();
  }

  #judge(
    order: { fence: number; expect?: number; model: string; version: number },
  ): number {
    if (this.#options.isFencing && order.fence < this.#fence) return 412;
    this.#fence = Math.max(this.#fence, order.fence);
    const isStale = order.expect !== undefined &&
      order.expect !== this.#accepted;
    if (this.#busy !== undefined || isStale) return 409;
    if (this.versionOf(order.model) >= order.version) return 200;
    this.#accepted += 1;
    this.#busy = order.model;
    const born = this.#born;
    setTimeout(() => {
      if (this.#born !== born) return;
      this.#versions.set(order.model, order.version);
      this.#busy = undefined;
    }, this.#options.loadMs);
    return 202;
  }

  #modelList(): { name: string; version: number; adapters: string[] }[] {
    return [...this.#versions]
      .map(([name, version]) => ({ name, version, adapters: [] }));
  }

  /** Reports to one control instance after the other until one takes it. */
  async #beat(): Promise<boolean> {
    this.#sequence += 1;
    const controls = this.#options.controls();
    const first = this.#sequence % Math.max(1, controls.length);
    for (let i = 0; i < controls.length; i += 1) {
      const control = controls[(first + i) % controls.length];
      try {
        const answer = await request(
          `http://${control}/-/Instances.Heartbeat/${this.#id}`,
          {
            method: "POST",
            body: JSON.stringify(this.#beatBody()),
            signal: AbortSignal.timeout(BEAT_TIMEOUT_MS),
          },
        );
        await answer.body.dump();
        if (answer.statusCode === 200) return true;
      } catch {
        // The next control instance is tried, as the platform's targets do.
      }
    }
    return false;
  }

  #beatBody(): unknown {
    return {
      service: this.#options.service,
      address: this.#address,
      zone: this.#options.zone,
      version: "v1",
      slots: this.#options.slots,
      state: this.#state,
      coldLeftMs: 0,
      models: this.#modelList(),
      seq: this.#sequence,
      born: this.#born,
    };
  }
}
