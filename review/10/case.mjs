/** Two edge machines stand still as a trainer ends a step; its next step brings unfinished groups again. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, eventCountOf, HAS_TROUBLE, newId, runCase, sleep, Trainer } from "../harness-2.mjs";

const HOST = "drafts.example";
const MODEL = "planner";
const KEY = "key-of-park-1-0123456789";
/** Groups of a step, those that the trainer waits for, and those that are not complete by then. */
const GROUPS = 9;
const DESIRED = 8;
const UNFINISHED = 4;
/** Time limit of a step. */
const TIME_LIMIT_MS = 12_000;
const TRAIN_MS = 500;
/** Time after which a consumer gives up a machine that has not read its request. */
const UNREAD_MS = 1000;
const FREEZE_MS = 4500;
/** Time that a run may go on at the replica before, after it has gone on at another. */
const OVERLAP_MS = 400;
const config = {
  version: 1,
  routes: [{ name: "r-drafts", host: HOST, pathPrefix: "/drafts/", routeType: "rollout", service: "planner-llm", timeoutMs: 10_000, sloMs: 500,
    priority: 1, maxAttempts: 3, queueTtlS: 40, resultSloMs: 7500, singleVersion: false, anonymous: false, sticky: true, resumable: true }],
  services: [{ name: "planner-llm", healthPath: "/healthz", maxConns: 150, protocol: "h1", tls: false, engine: { slots: 12, models: [{ name: MODEL }] } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "park-1", apiKeys: [KEY], priority: 1 }],
};
/** Long outputs for the groups that aren't complete in time. */
const countOf = (id) => id.startsWith("long") ? 179 : eventCountOf(id);

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const replicas = [];
  for (const zone of ["nl-a", "nl-b", "nl-c"]) {
    replicas.push(await deployment.addReplica({ service: "planner-llm", zone, models: [MODEL], eventMs: 90, countOf }));
  }
  await deployment.putConfig(config);
  await deployment.untilReady();
  await sleep(BOUNDS.contactMs);
  const trainer = new Trainer(deployment, { host: HOST, key: KEY, prefix: "/drafts/", model: MODEL });
  const group = (name) => Array.from({ length: 4 }, () => `${name}-${newId()}`);
  const live = deployment.fronts.slice(2);
  const first = newId();
  const long = Array.from({ length: UNFINISHED }, (_, i) => group(`long${i}`)).flat();
  const shortGroups = (name) => Array.from({ length: GROUPS - UNFINISHED }, (_, i) => group(`${name}${i}`)).flat();
  await trainer.submit({ id: first, step: 0, minVersion: 0, desired: DESIRED, items: [...long, ...shortGroups("g")] });
  let read = 0;
  for (const endsAt = Date.now() + TIME_LIMIT_MS; Date.now() < endsAt;) {
    const answer = await trainer.read(first, read, live[0]);
    if (answer.status === 200) read = JSON.parse(answer.text).next;
    await sleep(500);
  }
  if (read !== 4 * (GROUPS - UNFINISHED)) throw new Error(`${read} results at the time limit`);
  const frozen = deployment.machinesOn("edge").slice(0, 2);
  if (HAS_TROUBLE) {
    for (const { process: child } of frozen) child.kill("SIGSTOP");
    record.add("trouble", `${frozen.map(({ name }) => name).join(", ")} stand still`);
    setTimeout(() => {
      for (const { process: child } of frozen) child?.kill("SIGCONT");
      record.add("trouble", "they go on");
    }, FREEZE_MS);
  }
  // The trainer ends the step, at the next machine where one doesn't read its call, and trains meanwhile.
  const ended = (async () => {
    for (const front of [...deployment.fronts, ...deployment.fronts]) {
      const answer = await trainer.call("DELETE", `/-/lots/${first}`, { front, timeoutMs: UNREAD_MS });
      if (answer.status === 200) return record.now;
    }
    throw new Error("The step was not ended");
  })();
  await sleep(TRAIN_MS);
  await deployment.operate("POST", "/-/version-put", JSON.stringify({ model: MODEL, version: 2 }));
  const secondAt = record.now;
  const second = newId();
  trainer.deployment = { fronts: live, record };
  await trainer.submit({ id: second, step: 1, minVersion: 0, desired: DESIRED, items: [...long, ...shortGroups("h")] });
  const endedAt = await ended;
  record.add("check", `the second step was accepted ${secondAt - endedAt} ms after the end of the first was acknowledged`);
  await sleep(3000);
  const runs = replicas.flatMap((replica) => replica.runs);
  let twice = 0;
  let goneOn = 0;
  for (const id of long) {
    const own = runs.filter((run) => run.id === id).sort((a, b) => a.at - b.at);
    for (const run of own.filter(({ after }) => after > 0)) {
      goneOn += 1;
      const before = own.find((other) => other.at < run.at && other.replica !== run.replica && (other.endedAt ?? Infinity) >= run.at + OVERLAP_MS);
      if (before === undefined) continue;
      twice += 1;
      record.add("check", `${id} goes on after ${run.after} at ${run.replica} at ${run.at} ms; ${before.replica} works on it until ${before.endedAt} ms`);
    }
  }
  record.add("check", `${goneOn} runs went on, ${twice} while the replica before worked on them ${OVERLAP_MS} ms later`);
  if (goneOn === 0) throw new Error("No run went on");
  return twice === 0 ? undefined : `TWICE: ${twice} of ${goneOn} runs went on at another replica while the one before worked on`;
}, { core: 3, storage: 3, edge: 7 });
