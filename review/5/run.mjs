/** Case 5: a batch item's headers set the tenant, and pass the key on. */
import { randomBytes } from "node:crypto";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createRecord, Fleet, sleep } from "../harness.mjs";
import { consume, readAll, Replica, submit } from "../standins.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "ficu95.example";
const PREFIX = "/pufi791/";
const PLAIN = "/lohu930/";
const MODEL = "daka510000";
const OWN = { name: "nowu640", key: "3d3zji9n73hh2b9wu3fe" };
const OTHER = { name: "goka901", key: "xd9dnn2ctnfzs989anu6" };
/** What the consumer sends in headers that the system sets itself. */
const SENT = IS_TROUBLE ? { "Tenant": OTHER.name, "Authorization": `Bearer ${OWN.key}` } : {};

const record = createRecord(FOLDER);
const fleet = new Fleet(record);
const replicas = [];

const route = { host: HOST, timeoutMs: 3_000, sloMs: 500, priority: 1, maxAttempts: 3, anonymous: false };
const config = {
  version: 1,
  routes: [
    {
      ...route, name: "r-a9rgy35", pathPrefix: PREFIX, routeType: "rollout", service: "huvo11a", queueTtlS: 40,
      resultSloMs: 7_500, singleVersion: false, sticky: true, resumable: true,
    },
    { ...route, name: "r-qrh4jcd", pathPrefix: PLAIN, routeType: "idempotent", service: "wuno96b" },
  ],
  services: [
    {
      name: "huvo11a", healthPath: "/healthz", maxConns: 150, protocol: "h1", tls: false,
      engine: { slots: 12, models: [{ name: MODEL }] },
    },
    { name: "wuno96b", healthPath: "/healthz", maxConns: 110, protocol: "h1", tls: false },
  ],
  limits: {},
  tenants: [OWN, OTHER].map(({ name, key }) => ({ name, apiKeys: [key], priority: 1 })),
};

/** Gets the values of a header as they came, each by itself. */
function valuesOf({ rawHeaders }, name) {
  const values = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === name) values.push(rawHeaders[i + 1]);
  }
  return values;
}

/** Gets whether a replica got the right tenant, and no key. */
function isRight(run) {
  const tenants = valuesOf(run, "tenant");
  const keys = valuesOf(run, "authorization");
  record(`replica ${run.replica} ran ${run.id} on ${run.path}: Tenant ${JSON.stringify(tenants)}, Authorization ${JSON.stringify(keys)}`);
  return tenants.length === 1 && tenants[0] === OWN.name && keys.length === 0;
}

let exitCode = 2;
try {
  await fleet.prepare({ controls: 3, ledgers: 3, entries: 2 });
  fleet.startAll();
  const first = await fleet.order("POST", "/-/Config.Replace", JSON.stringify(config));
  const isReady = first.status === 200 && await fleet.untilReady();
  record(`config ${first.status}, ready ${isReady}`);
  const shared = { controls: () => fleet.controls, eventMs: 15, textOf: ({ id }) => [`${id}.1`, `${id}.2`] };
  for (let i = 0; i < 2; i += 1) {
    replicas.push(await new Replica({ ...shared, service: "huvo11a", models: [MODEL] }).start());
    replicas.push(await new Replica({ ...shared, service: "wuno96b" }).start());
  }
  await sleep(1_500);
  const call = await consume(fleet.entries[0], {
    path: `${PLAIN}1`, host: HOST, key: OWN.key, id: randomBytes(8).toString("hex"), body: "call", deadlineMs: 2_000,
    headers: IS_TROUBLE ? { "Tenant": OTHER.name } : {},
  });
  record(`call with the headers ${JSON.stringify(SENT)}: ${call.status}`);
  const id = randomBytes(8).toString("hex");
  const requests = Array.from({ length: 4 }, (_, i) => ({
    id: randomBytes(8).toString("hex"), path: `${PREFIX}${i}`,
    headers: { "Model": MODEL, "Token-Count": "1016,400", ...SENT },
    body: Buffer.from(`body ${i}`).toString("base64"), tokens: 1_416, group: "g1",
  }));
  const body = JSON.stringify({ step: 0, model: MODEL, minVersion: 1, desired: 1, requests });
  const answer = await submit(fleet.entries, { host: HOST, key: OWN.key, prefix: PREFIX, id, body });
  record(`batch ${id} whose items have the headers ${JSON.stringify(SENT)}: ${answer.status}`);
  const results = answer.status === 202
    ? await readAll(fleet.entries, { host: HOST, key: OWN.key, id, total: requests.length })
    : [];
  for (const result of results) record(`result of ${result.id}: ${result.state}`);
  const runs = replicas.flatMap(({ runs: all }) => all);
  const wrong = runs.filter((run) => !isRight(run)).length;
  record(`${wrong} of ${runs.length} runs with another tenant, or with the key`);
  const isDecided = answer.status === 202 ? results.length > 0 : answer.status === 400;
  if (isReady && call.status === 200 && isDecided) exitCode = wrong > 0 ? 1 : 0;
  record(exitCode === 1 ? "BROKEN: UNASKED" : "held");
} catch (err) {
  record(`could not run: ${err.stack}`);
} finally {
  for (const replica of replicas) replica.crash();
  await fleet.stop();
}
process.exit(exitCode);
