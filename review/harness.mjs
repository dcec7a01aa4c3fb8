/** Starts a small fleet of the project's processes on loopback addresses. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Root of the repository, in which the deploy file's commands run. */
export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** The commands of deploy/system.toml, by role. */
const COMMANDS = {
  entry: "node --max-semi-space-size=2 --max-old-space-size=110 target/nutmegreel.mjs",
  control: "node --max-semi-space-size=2 --max-old-space-size=160 target/nutmegreel.mjs",
  ledger: "node --max-semi-space-size=2 --max-old-space-size=160 target/nutmegreel.mjs",
};
const FIRST_OCTET = { control: 10, ledger: 30, entry: 50 };
const ZONES = ["nl-midden-a", "nl-midden-b", "nl-midden-c"];

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Creates the writer of record.txt. */
export function createRecord(folder) {
  const file = join(folder, "record.txt");
  writeFileSync(file, "");
  const startedAt = Date.now();
  return (line) => {
    const text = `${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${line}`;
    appendFileSync(file, `${text}\n`);
    console.log(text);
  };
}

/** Gets whether an address can be bound. */
function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Sends one HTTP request on a connection of its own. */
export function call(address, { method = "GET", path = "/", headers = {}, body, timeoutMs = 1_000, host } = {}) {
  const [ip, port] = address.split(":");
  return new Promise((resolve) => {
    const chunks = [];
    const req = http.request({
      host: ip, port: Number(port), method, path, agent: false,
      headers: {
        ...(host === undefined ? {} : { host }),
        ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, (res) => {
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("end", () => settle({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks), isComplete: res.complete }));
      res.on("error", (err) => settle({ status: 0, error: err.code ?? err.message, headers: res.headers, body: Buffer.concat(chunks) }));
    });
    const timer = setTimeout(() => { settle({ status: 0, error: "timeout" }); req.destroy(); }, timeoutMs);
    const settle = (result) => { clearTimeout(timer); resolve(result); };
    req.on("error", (err) => settle({ status: 0, error: err.code ?? err.message }));
    req.end(body);
  });
}

/** A fleet of processes; each machine keeps its folder over restarts. */
export class Fleet {
  machines = [];
  /** Ends that nobody ordered. */
  ownEnds = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #record;
  #isStopping = false;

  constructor(record) {
    this.#record = record;
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
      process.once(signal, () => this.stop().finally(() => process.exit(2)));
    }
  }

  /** Chooses addresses and ports that are free. */
  async prepare({ controls = 3, ledgers = 3, entries = 2, receiver } = {}) {
    const ports = { peer: 7660, front: 8405, ready: 8406, control: 8407, metrics: 9464 };
    for (let i = 0; ; i += 1) {
      const base = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
      const all = [];
      for (const [role, n] of [["control", controls], ["ledger", ledgers], ["entry", entries]]) {
        for (let k = 0; k < n; k += 1) all.push([role, k, `${base}.${FIRST_OCTET[role] + k}`]);
      }
      const free = await Promise.all(all.flatMap(([, , ip]) => Object.values(ports).map((p) => isFree(ip, p))));
      if (!free.every(Boolean) && i < 20) continue;
      if (!free.every(Boolean)) throw new Error("No free addresses");
      this.ports = ports;
      this.base = base;
      this.receiver = receiver;
      this.machines = all.map(([role, k, ip]) => ({
        role, ip, name: `${role}-${k + 1}`, zone: ZONES[k % ZONES.length],
        folder: join(this.#folder, `${role}-${k + 1}`), process: undefined, starts: 0, log: [],
      }));
      return this;
    }
  }

  of(role) {
    return this.machines.filter((machine) => machine.role === role);
  }

  get controls() {
    return this.of("control").map(({ ip }) => `${ip}:${this.ports.control}`);
  }

  get entries() {
    return this.of("entry").map(({ ip }) => `${ip}:${this.ports.front}`);
  }

  /** Starts the process of a machine; it is started again if it ends by itself. */
  start(machine, { isFirstStart = false, isKept = true } = {}) {
    mkdirSync(machine.folder, { recursive: true });
    const settings = join(machine.folder, "settings.json");
    writeFileSync(settings, JSON.stringify(this.#settingsOf(machine, isFirstStart), null, 1));
    const [command, ...args] = COMMANDS[machine.role].split(" ");
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, NUTMEGREEL_SETTINGS: settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    machine.process = child;
    machine.starts += 1;
    const keep = (chunk) => {
      machine.log.push(chunk.toString());
      if (machine.log.length > 4_000) machine.log.splice(0, 1_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("close", (code, signal) => {
      if (machine.process === child) machine.process = undefined;
      if (child.isOrdered || this.#isStopping) return;
      this.ownEnds.push({ machine: machine.name, at: Date.now(), code, signal });
      const reason = /FATAL ERROR: .*/.exec(machine.log.slice(-40).join(""))?.[0] ?? "";
      this.#record(`${machine.name} ended by itself: code ${code}, signal ${signal} ${reason}`.trimEnd());
      if (isKept) setTimeout(() => { if (!this.#isStopping) this.start(machine); }, 500);
    });
    return child;
  }

  /** Ends the process of a machine. */
  async kill(machine, signal = "SIGKILL") {
    const child = machine.process;
    if (child === undefined) return;
    child.isOrdered = true;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill(signal);
    await ended;
  }

  startAll() {
    for (const machine of this.machines) this.start(machine, { isFirstStart: true });
  }

  /** Sends an order to control as the operator does, until it is answered. */
  async order(method, path, body, { timeoutMs = 10_000, attemptMs = 1_000 } = {}) {
    const endsAt = Date.now() + timeoutMs;
    let last = { status: 0, error: "none asked" };
    for (let i = Math.floor(Math.random() * 16); Date.now() < endsAt; i += 1) {
      const controls = this.controls;
      last = await call(controls[i % controls.length], {
        method, path, body, timeoutMs: attemptMs,
        headers: body === undefined ? {} : { "content-type": "application/json" },
      });
      if (last.status >= 200 && last.status < 300) return last;
      if ([400, 409, 412, 413, 422].includes(last.status)) return last;
      await sleep(100);
    }
    return last;
  }

  /** Waits until all entry instances say that they are ready. */
  async untilReady(timeoutMs = 20_000) {
    const endsAt = Date.now() + timeoutMs;
    for (const { ip } of this.of("entry")) {
      for (;;) {
        const { status } = await call(`${ip}:${this.ports.ready}`, { path: "/-/readiness" });
        if (status === 200) break;
        if (Date.now() > endsAt) return false;
        await sleep(100);
      }
    }
    return true;
  }

  /** Ends all processes and removes the folder. */
  async stop() {
    this.#isStopping = true;
    await Promise.all(this.machines.map(async (machine) => {
      if (machine.process === undefined) return;
      machine.process.kill("SIGCONT");
      await this.kill(machine);
    }));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** The settings of deploy/settings.template, filled in for a small deployment. */
  #settingsOf({ role, ip, name, zone, folder }, isFirstStart) {
    const { ports } = this;
    return {
      id: ip, name, dataCentre: zone,
      regions: Object.fromEntries(ZONES.map((z) => [z, "nl-midden"])),
      role, peerPort: ports.peer, seeds: this.controls.slice(0, 3), isFirstStart, tolerance: 1,
      ...(role === "entry" ? {} : { dataFolder: join(folder, "data") }),
      ...(this.receiver === undefined ? {} : {
        receiver: { address: this.receiver, callsPerS: 50, duties: ["usage"] },
      }),
      metrics: `${ip}:${ports.metrics}`,
      listen: {
        callers: role === "entry" ? `${ip}:${ports.front}` : "",
        readiness: role === "entry" ? `${ip}:${ports.ready}` : "",
        control: role === "control" ? `${ip}:${ports.control}` : "",
      },
      orders: { leaseMs: 3000, areFencesChecked: true },
      times: {
        revokeMs: 5000, reportIntervalMs: 1200, graceS: 8, usageWindowS: 5,
        usageDueS: 10, keepResultsS: 120, contactMs: 3000,
      },
    };
  }
}
