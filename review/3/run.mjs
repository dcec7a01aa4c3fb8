/** Case 3: the control processes run out of memory and never come back. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, createRecord, Fleet, sleep } from "../harness.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";
/** The three growths of the config, each by 350 routes. */
const GROWTHS = IS_TROUBLE ? 3 : 0;
const ROUTES_PER_GROWTH = 350;
const FIRST_ROUTES = 8;
/** Storms as in the site file: a change each 0.33 s for 4 s, one after the other. */
const GAP_MS = 330;
const STORM_MS = 4_000;
const STORM_PAUSE_MS = 200;
const CHANGES_MS = 88_000;
const MAX_IN_PROGRESS = 8;
const ACK_MS = 4_000;
const READ_MS = 12_000;
const HOST = "ficu95.example";

const record = createRecord(FOLDER);
const fleet = new Fleet(record);

function routeOf(i, timeoutMs) {
  return {
    name: `r-${String(i).padStart(7, "0")}`, host: HOST, pathPrefix: `/p${String(i).padStart(6, "0")}/`,
    routeType: "idempotent", timeoutMs, sloMs: 185, priority: 2,
    split: [{ service: "huvo11a", weight: 90 }, { service: "wuno96b", weight: 10 }], maxAttempts: 2, anonymous: false,
  };
}

/** Creates a config; successive ones change the time-out of one route. */
function configOf(version, routes) {
  return JSON.stringify({
    version,
    routes: Array.from({ length: routes }, (_, i) => routeOf(i, 1_500 + (i === 0 ? version % 100 : 0))),
    services: ["huvo11a", "wuno96b"].map((name) => ({ name, healthPath: "/healthz", maxConns: 160, protocol: "h1", tls: false })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: Array.from({ length: 8 }, (_, i) => ({ name: `tenant${i}`, apiKeys: [`key-${i}-3d3zji9n73hh`, `key-${i}-2b9wu3fexd9d`], priority: 1 })),
  });
}

let routes = FIRST_ROUTES;
let version = 0;
let acked = 0;
let unanswered = 0;
let inProgress = 0;

async function change(timeoutMs = ACK_MS) {
  version += 1;
  const sent = version;
  inProgress += 1;
  const answer = await fleet.order("POST", "/-/Config.Replace", configOf(sent, routes), { timeoutMs });
  inProgress -= 1;
  if (answer.status === 200) acked = Math.max(acked, sent);
  else {
    unanswered += 1;
    if (unanswered <= 5) record(`version ${sent}: no ack, ${answer.status || answer.error}`);
  }
  return answer.status;
}

let exitCode = 2;
try {
  await fleet.prepare({ controls: 3, ledgers: 3, entries: 2 });
  fleet.startAll();
  const isReady = await change(15_000) === 200 && await fleet.untilReady();
  record(`first config acknowledged, ready ${isReady}`);
  for (let i = 0; i < GROWTHS; i += 1) {
    routes += ROUTES_PER_GROWTH;
    const status = await change(10_000);
    record(`version ${version} with ${ROUTES_PER_GROWTH} routes more, ${configOf(version, routes).length} bytes: ${status}`);
  }
  const until = Date.now() + CHANGES_MS;
  const monitor = setInterval(() => record(`sent up to version ${version}, acknowledged up to ${acked}; own ends ${fleet.ownEnds.length}`), 10_000);
  while (Date.now() < until) {
    const stormUntil = Math.min(until, Date.now() + STORM_MS);
    while (Date.now() < stormUntil) {
      if (inProgress < MAX_IN_PROGRESS) change();
      await sleep(GAP_MS);
    }
    await sleep(STORM_PAUSE_MS);
  }
  clearInterval(monitor);
  await sleep(ACK_MS);
  let read = { status: 0, error: "none" };
  let readVersion = 0;
  const readUntil = Date.now() + READ_MS;
  while (Date.now() < readUntil && readVersion < acked) {
    for (const control of fleet.controls) {
      read = await call(control, { path: "/-/Config.Read", timeoutMs: 1_000 });
      if (read.status === 200) readVersion = Math.max(readVersion, JSON.parse(read.body).version);
    }
    await sleep(100);
  }
  const ends = fleet.of("control").map(({ name }) => fleet.ownEnds.filter(({ machine }) => machine === name).length);
  record(`${acked} of ${version} versions acknowledged in all; ${unanswered} changes had no ack in ${ACK_MS} ms`);
  record(`read back in ${READ_MS} ms: ${readVersion === 0 ? `none, ${read.status || read.error}` : `version ${readVersion}`}`);
  record(`ends of control's processes by themselves, by machine: ${ends.join(", ")}`);
  const isFault = ends.filter((n) => n >= 3).length >= 2;
  const isConfig = readVersion < acked;
  if (isReady && acked > 1) exitCode = isFault || isConfig ? 1 : 0;
  record(exitCode === 1 ? `BROKEN: ${[isFault && "Fault", isConfig && "CONFIG"].filter(Boolean).join(", ")}` : "held");
} catch (err) {
  record(`could not run: ${err.stack}`);
} finally {
  await fleet.stop();
}
process.exit(exitCode);
