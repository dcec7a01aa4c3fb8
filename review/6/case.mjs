/** A config removes the route of an accepted batch submission, which is then read. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, HAS_TROUBLE, newId, outputOf, runCase, sleep, Trainer } from "../harness-2.mjs";

const HOST = "drafts.example";
const APP_HOST = "rota.example";
const MODEL = "planner";
const KEY = "key-of-park-1-0123456789";
const route = { timeoutMs: 10_000, sloMs: 500, priority: 1, maxAttempts: 3, anonymous: false };
const drafts = { ...route, name: "r-drafts", host: HOST, pathPrefix: "/drafts/", routeType: "rollout", service: "planner-llm",
  queueTtlS: 40, resultSloMs: 7500, singleVersion: false, sticky: true, resumable: true };
const rota = { ...route, name: "r-rota", host: APP_HOST, pathPrefix: "/rota/", routeType: "idempotent", service: "rota-app" };

const createConfig = (version, routes) => ({
  version, routes,
  services: [
    { name: "planner-llm", healthPath: "/healthz", maxConns: 150, protocol: "h1", tls: false, engine: { slots: 12, models: [{ name: MODEL }] } },
    { name: "rota-app", healthPath: "/healthz", maxConns: 100, protocol: "h1", tls: false },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "park-1", apiKeys: [KEY], priority: 1 }],
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  for (const zone of ["nl-a", "nl-b", "nl-c"]) {
    await deployment.addReplica({ service: "planner-llm", zone, models: [MODEL] });
    await deployment.addReplica({ service: "rota-app", zone });
  }
  await deployment.putConfig(createConfig(1, [drafts, rota]));
  await deployment.untilReady();
  await sleep(2000);
  const trainer = new Trainer(deployment, { host: HOST, key: KEY, prefix: "/drafts/", model: MODEL });
  const batch = newId();
  const items = ["g1-a", "g1-b", "g1-c", "g1-d"].map((name) => `${name}${newId()}`);
  await trainer.submit({ id: batch, step: 0, minVersion: 0, items });
  const results = [];
  for (const endsAt = Date.now() + 20_000; results.length < items.length && Date.now() < endsAt;) {
    const answer = await trainer.read(batch, results.length);
    if (answer.status === 200) results.push(...JSON.parse(answer.text).results);
    await sleep(300);
  }
  if (results.length < items.length || results.some(({ id, text }) => text !== outputOf(id))) {
    throw new Error("The results did not come before the change");
  }
  // The operator takes the route away, as the pages say that configs do.
  await deployment.putConfig(createConfig(2, HAS_TROUBLE ? [rota] : [drafts, rota]));
  const ackedAt = record.now;
  await sleep(BOUNDS.configApplyMs + BOUNDS.settleMs);
  const missing = [];
  let read = 0;
  for (const front of deployment.fronts) {
    for (let i = 0; i < 3; i += 1) {
      const answer = await trainer.read(batch, 0, front);
      if (answer.status === 404 || answer.status === 410) missing.push(front);
      if (answer.status === 200) {
        const page = JSON.parse(answer.text);
        read += page.results.length === items.length ? 1 : 0;
      }
      await sleep(500);
    }
  }
  record.add("check", `${((record.now - ackedAt) / 1000).toFixed(1)} s after the ack: ${missing.length} reads got 404, ${read} gave all results`);
  if (missing.length === 0 && read === 0) throw new Error("No read was answered");
  return missing.length === 0
    ? undefined
    : `LOST: an accepted batch submission whose results had been read was answered 404 ${missing.length} times`;
});
