/** A config adds an anonymous rollout route; a step that is accepted there is then read by its sender. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, HAS_TROUBLE, newId, runCase, sleep, Trainer } from "../harness-2.mjs";

const HOST = "drafts.example";
const MODEL = "planner";
const KEY = "key-of-park-1-0123456789";
const base = { host: HOST, routeType: "rollout", service: "planner-llm", timeoutMs: 10_000, sloMs: 500, priority: 1,
  maxAttempts: 3, queueTtlS: 40, resultSloMs: 7500, singleVersion: false, sticky: true, resumable: true };
const keyed = { ...base, name: "r-drafts", pathPrefix: "/drafts/", anonymous: false };

const createConfig = (version, routes) => ({
  version, routes,
  services: [{ name: "planner-llm", healthPath: "/healthz", maxConns: 150, protocol: "h1", tls: false, engine: { slots: 12, models: [{ name: MODEL }] } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "park-1", apiKeys: [KEY], priority: 1 }],
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  for (const zone of ["nl-a", "nl-b", "nl-c"]) {
    await deployment.addReplica({ service: "planner-llm", zone, models: [MODEL] });
  }
  await deployment.putConfig(createConfig(1, [keyed]));
  await deployment.untilReady();
  await sleep(2000);
  const added = { ...base, name: "r-added", pathPrefix: "/added/", anonymous: HAS_TROUBLE };
  await deployment.putConfig(createConfig(2, [keyed, added]));
  await sleep(BOUNDS.configApplyMs + 500);
  // The trainer brings its key with each call, as it does on all routes.
  const trainer = new Trainer(deployment, { host: HOST, key: KEY, prefix: "/added/", model: MODEL });
  const batch = newId();
  const items = ["g1-a", "g1-b", "g1-c", "g1-d"].map((name) => `${name}${newId()}`);
  await trainer.submit({ id: batch, step: 0, minVersion: 0, items });
  await sleep(BOUNDS.settleMs + 1000);
  let missing = 0;
  let listed = 0;
  for (const front of deployment.fronts) {
    for (let i = 0; i < 3; i += 1) {
      const answer = await trainer.read(batch, 0, front);
      if (answer.status === 404 || answer.status === 410) missing += 1;
      if (answer.status === 200) listed = JSON.parse(answer.text).results.length;
      await sleep(500);
    }
  }
  const end = await trainer.call("DELETE", `/-/lots/${batch}`);
  const runs = deployment.replicas.flatMap((replica) => replica.runs).filter(({ id }) => items.includes(id));
  const tenants = [...new Set(runs.map(({ tenant }) => JSON.stringify(tenant)))].join(", ");
  record.add("check", `${missing} of 9 reads got 404; ${listed} results listed; the end got ${end.status}; ` +
    `${runs.length} runs, for tenant ${tenants}`);
  if (missing === 0 && listed < items.length) throw new Error("The step was not complete");
  return missing === 0
    ? undefined
    : `LOST: an accepted batch submission was answered 404 in ${missing} of 9 reads of its sender`;
});
