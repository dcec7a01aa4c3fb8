/** Stand-ins of the platform: model replicas and trainers. */
import { randomBytes } from "node:crypto";
import http from "node:http";
import { call, sleep } from "./harness.mjs";

const HEARTBEAT_MS = 1_200;

/** Collects the body of a request. */
async function bodyOf(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** A replica of a service; it registers at control as PROTOCOL.md says. */
export class Replica {
  /** Requests that were run: id, headers, first event asked for, events made. */
  runs = [];
  onRun = () => {};

  constructor(options) {
    this.options = { slots: 12, models: [], zone: "nl-midden-a", software: "v1", eventMs: 20, ...options };
    this.id = `i-${randomBytes(4).toString("hex")}`;
    this.versions = new Map(this.options.models.map((name) => [name, 1]));
    this.sockets = new Set();
    this.active = 0;
    this.seq = 0;
    this.orders = 0;
  }

  async start(ip = "127.0.0.1") {
    this.born = Date.now();
    this.server = http.createServer((req, res) => {
      res.on("error", () => {});
      this.#serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => this.server.listen(this.port ?? 0, ip, resolve));
    this.port = this.server.address().port;
    this.address = `${ip}:${this.port}`;
    this.isUp = true;
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
    await this.beat();
    return this;
  }

  /** Ends as a killed process does: all connections are reset. */
  crash() {
    this.isUp = false;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  async beat() {
    this.seq += 1;
    const { service, zone, software, slots, controls } = this.options;
    const body = JSON.stringify({
      service, address: this.address, zone, version: software, slots, state: "ready", coldLeftMs: 0,
      phase: "dual", models: [...this.versions].map(([name, version]) => ({ name, version, adapters: [] })),
      seq: this.seq, born: this.born,
    });
    const addresses = controls();
    for (let i = 0; i < addresses.length; i += 1) {
      const address = addresses[(this.seq + i) % addresses.length];
      const { status } = await call(address, {
        method: "POST", path: `/-/Instances.Heartbeat/${this.id}`, body,
        headers: { "content-type": "application/json" },
      });
      if (status >= 200 && status < 300) return;
    }
  }

  async #serve(req, res) {
    const body = await bodyOf(req);
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { "not-executed": "1" }).end();
      return;
    }
    if (req.url === "/healthz") {
      res.writeHead(200, { "instance-id": this.id }).end();
      return;
    }
    if (req.url === "/-/report") {
      res.writeHead(200, { "content-type": "application/json" });
      res.end(JSON.stringify({
        phase: "dual", models: [...this.versions].map(([name, version]) => ({ name, version, adapters: [] })),
        busy: false, seq: this.orders, queued: 0, active: this.active, kvUsed: 0, kvTotal: 90_000, handles: 0,
        born: this.born,
      }));
      return;
    }
    if (req.url === "/-/order") {
      const order = JSON.parse(body.toString());
      if (order.version <= (this.versions.get(order.model) ?? 0)) return void res.writeHead(200).end();
      this.orders += 1;
      this.versions.set(order.model, order.version);
      return void res.writeHead(202).end();
    }
    if (this.active >= this.options.slots) {
      res.writeHead(503, { "not-executed": "1", "request-id": req.headers["request-id"] ?? "" }).end();
      return;
    }
    this.active += 1;
    try {
      await this.#run(req, res, body);
    } finally {
      this.active -= 1;
    }
  }

  async #run(req, res, body) {
    const { textOf, eventMs, models, workMs = 20 } = this.options;
    const id = req.headers["request-id"];
    const after = Number(req.headers["last-event-id"] ?? 0);
    const run = { id, after, made: 0, replica: this.id, rawHeaders: req.rawHeaders, headers: req.headers, path: req.url, body: body.toString() };
    this.runs.push(run);
    if (this.runs.length > 20_000) this.runs.splice(0, 10_000);
    const stamp = { "request-id": id, "server-stamp": `${this.id}.${id}` };
    if (models.length === 0) {
      await sleep(workMs);
      this.onRun(run);
      const answer = `answer to ${id}`;
      res.writeHead(200, { ...stamp, "content-length": String(answer.length) });
      res.end(answer);
      return;
    }
    const model = req.headers.model ?? models[0];
    const events = textOf(run);
    res.writeHead(200, { ...stamp, "content-type": "text/event-stream", "weight-versions": String(this.versions.get(model) ?? 1) });
    for (let n = after + 1; n <= events.length; n += 1) {
      await sleep(eventMs);
      if (res.destroyed || !this.isUp) return;
      res.write(`id: ${n}\ndata: ${events[n - 1]}\n\n`);
      run.made = n;
      this.onRun(run);
    }
    res.end();
  }
}

/** Sends a request of a consumer, over a new connection. */
export function consume(entry, { method = "POST", path, host, key, id, body, waitMs, deadlineMs, headers = {}, timeoutMs = 5_000 }) {
  return call(entry, {
    method, path, host, body, timeoutMs,
    headers: {
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      ...(id === undefined ? {} : { "request-id": id }),
      ...(waitMs === undefined ? {} : { "wait-ms": String(waitMs) }),
      ...(deadlineMs === undefined ? {} : { "deadline-ms": String(deadlineMs) }),
      ...headers,
    },
  });
}

/** Submits a batch until it gets a clear answer, at another entry each time. */
export async function submit(entries, { host, key, prefix, id, body }, timeoutMs = 12_000) {
  const endsAt = Date.now() + timeoutMs;
  let last;
  for (let i = 0; Date.now() < endsAt; i += 1) {
    last = await consume(entries[i % entries.length], {
      path: `${prefix}${id}`, host, key, id, body, headers: { "content-type": "application/json" },
    });
    if (last.status === 202) return last;
    if (last.status >= 400 && last.status < 500 && last.status !== 429) return last;
    await sleep(Number(last.headers?.["retry-after"] ?? 0.3) * 1_000);
  }
  return last;
}

/** Reads the results of a batch until all are listed. */
export async function readAll(entries, { host, key, id, total }, timeoutMs = 12_000) {
  const results = [];
  const endsAt = Date.now() + timeoutMs;
  for (let i = 0; results.length < total && Date.now() < endsAt; i += 1) {
    const page = await consume(entries[i % entries.length], {
      method: "GET", path: `/-/lots/${id}?after=${results.length}`, host, key, waitMs: 1_000, timeoutMs: 3_000,
    });
    if (page.status === 200) results.push(...JSON.parse(page.body.toString()).results);
    else await sleep(200);
  }
  return results;
}

/** Ends a batch until that is acknowledged. */
export async function end(entries, { host, key, id }, timeoutMs = 10_000) {
  const endsAt = Date.now() + timeoutMs;
  for (let i = 0; Date.now() < endsAt; i += 1) {
    const answer = await consume(entries[i % entries.length], { method: "DELETE", path: `/-/lots/${id}`, host, key, timeoutMs: 2_500 });
    if (answer.status === 200) return true;
    await sleep(200);
  }
  return false;
}
