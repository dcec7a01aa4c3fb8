/** A replica deregisters, all processes are killed and come back, and a late status report of it arrives. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, HAS_TROUBLE, newId, runCase, send, sleep } from "../harness-2.mjs";

const HOST = "rota.example";
const KEY = "key-of-park-1-0123456789";
const DOWN_MS = 1000;
/** How late the status report arrives that was sent just before the deregistration. */
const LATE_MS = 5000;
/** From the machines' start until all of them are in touch, twice the bound. */
const IN_TOUCH_MS = 2 * BOUNDS.contactMs;
const config = {
  version: 1,
  routes: [{ name: "r-rota", host: HOST, pathPrefix: "/rota/", routeType: "idempotent", service: "rota-app", timeoutMs: 2000, sloMs: 185,
    priority: 1, maxAttempts: 2, anonymous: false }],
  services: [{ name: "rota-app", healthPath: "/healthz", maxConns: 100, protocol: "h1", tls: false }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "park-1", apiKeys: [KEY], priority: 1 }],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const replicas = [];
  for (const zone of ["nl-a", "nl-b", "nl-c", "nl-a"]) replicas.push(await deployment.addReplica({ service: "rota-app", zone, slots: 6 }));
  await deployment.putConfig(config);
  await deployment.untilReady();
  await sleep(BOUNDS.contactMs);
  const request = async (front) => {
    const id = newId();
    const headers = { host: HOST, authorization: `Bearer ${KEY}`, "request-id": id, "deadline-ms": "2000" };
    const answer = await send({ address: front, method: "POST", path: `/rota/${id}`, headers, body: "x" }).catch((err) => ({ status: err.message }));
    record.add("consumer", `${id} at ${front} -> ${answer.status}`);
    return answer.status === 200;
  };
  for (const front of deployment.fronts) {
    for (let i = 0; i < 4; i += 1) if (!await request(front)) throw new Error("The deployment doesn't serve");
  }
  const [leaving] = replicas;
  const lateBeat = leaving.createBeat();
  const beatAt = Date.now();
  const control = await leaving.deregister();
  const ackedAt = record.now;
  if (control === undefined) throw new Error("The deregistration was not acknowledged");
  record.add(leaving.name, `deregistered; ${control} acknowledged it`);
  if (HAS_TROUBLE) {
    await Promise.all(deployment.machines.map((machine) => deployment.kill(machine)));
    record.add("trouble", "all processes are killed, right after the ack");
    await sleep(DOWN_MS);
    for (const machine of deployment.machines) deployment.startMachine(machine, false);
    record.add("trouble", "all processes are started again, with their disks");
  }
  const startedAt = Date.now();
  await sleep(LATE_MS - (Date.now() - beatAt));
  record.add(leaving.name, `the status report from before arrives ${Date.now() - beatAt} ms late; ${await leaving.beat(lateBeat)} answers 200`);
  await sleep(IN_TOUCH_MS - (Date.now() - startedAt));
  await deployment.untilReady(5000);
  const from = record.now;
  if (from - ackedAt < BOUNDS.drainMs) throw new Error("Less than drainMs has passed");
  let served = 0;
  for (let i = 0; i < 5; i += 1) {
    const answers = await Promise.all(deployment.fronts.flatMap((front) => [request(front), request(front), request(front), request(front)]));
    served += answers.filter(Boolean).length;
    await sleep(100);
  }
  if (served < 30) throw new Error("The deployment doesn't serve");
  const reached = leaving.runs.filter(({ at }) => at >= from);
  record.add("check", `${reached.length} of 60 requests reached ${leaving.name}, from ${((from - ackedAt) / 1000).toFixed(1)} s after the ack on`);
  return reached.length === 0
    ? undefined
    : `DRAIN: ${reached.length} requests reached a replica over ${((from - ackedAt) / 1000).toFixed(1)} s after its deregistration was acknowledged`;
});
