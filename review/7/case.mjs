/** A config gives a rollout route two services, of which the first has the weight 0. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, HAS_TROUBLE, newId, runCase, sleep, Trainer } from "../harness-2.mjs";

const HOST = "drafts.example";
const MODEL = "planner";
const KEY = "key-of-park-1-0123456789";
/** Service that no config allows the route to use, and the one that they name. */
const UNUSED = "planner-next";
const USED = "planner-llm";
const base = { name: "r-drafts", host: HOST, pathPrefix: "/drafts/", routeType: "rollout", timeoutMs: 10_000, sloMs: 500, priority: 1,
  maxAttempts: 3, queueTtlS: 40, resultSloMs: 7500, singleVersion: false, anonymous: false, sticky: true, resumable: true };
const engine = (name) => ({ name, healthPath: "/healthz", maxConns: 150, protocol: "h1", tls: false, engine: { slots: 12, models: [{ name: MODEL }] } });

const createConfig = (version, target) => ({
  version, routes: [{ ...base, ...target }], services: [engine(UNUSED), engine(USED)],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "park-1", apiKeys: [KEY], priority: 1 }],
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const unused = [];
  const used = [];
  for (const zone of ["nl-a", "nl-b", "nl-c"]) {
    unused.push(await deployment.addReplica({ service: UNUSED, zone, models: [MODEL] }));
    used.push(await deployment.addReplica({ service: USED, zone, models: [MODEL] }));
  }
  await deployment.putConfig(createConfig(1, { service: USED }));
  await deployment.untilReady();
  await sleep(2000);
  const trainer = new Trainer(deployment, { host: HOST, key: KEY, prefix: "/drafts/", model: MODEL });
  const runStep = async (step) => {
    const items = Array.from({ length: 8 }, (_, i) => `g${i >> 2}-${newId()}`);
    const batch = newId();
    await trainer.submit({ id: batch, step, minVersion: 0, items });
    for (let read = 0, i = 0; read < items.length && i < 40; i += 1) {
      const answer = await trainer.read(batch, read);
      if (answer.status === 200) read = JSON.parse(answer.text).next;
      await sleep(200);
    }
    const countAt = (replicas) => replicas.flatMap(({ runs }) => runs).filter(({ id }) => items.includes(id)).length;
    const counts = { used: countAt(used), unused: countAt(unused) };
    record.add("check", `step ${step}: ${counts.used} runs at ${USED}, ${counts.unused} at ${UNUSED}`);
    return counts;
  };
  const before = await runStep(0);
  if (before.used === 0 || before.unused > 0) throw new Error("The first step did not run as the first config says");
  // The operator prepares a later move: a split whose new service has no share yet.
  const split = [{ service: UNUSED, weight: 0 }, { service: USED, weight: 100 }];
  await deployment.putConfig(createConfig(2, HAS_TROUBLE ? { split } : { service: USED }));
  await sleep(BOUNDS.configApplyMs + 500);
  let runs = 0;
  for (let step = 1; step <= 3; step += 1) runs += (await runStep(step)).unused;
  return runs === 0 ? undefined : `ROUTE: ${runs} items ran at ${UNUSED}, to which no config gave any weight`;
});
