/** Shows the whole path: a step delivered once, with a crash and a delay. */
import { Deployment, keyOf } from "../tests/support/deployment.ts";
import type { TrainerCount } from "../fakes/trainer.ts";
import { bundlePrograms } from "./bundle.ts";

const GROUPS = 24;
const SAMPLES_PER_GROUP = 8;
const ENGINES = 3;
/** Part of the first step after which an engine is killed. */
const KILL_AT_SHARE = 0.3;
const STEPS = 2;
const DELAY_MS = 3_000;

function stepOf(number: number) {
  const groups = Array.from({ length: GROUPS }, (_, i) => ({
    id: `park-${i}`,
    samples: SAMPLES_PER_GROUP,
    body: {
      messages: [
        { role: "system", content: "Plan the week of the keepers" },
        {
          role: "user",
          content: `Park ${i}, week ${number}${i === 0 ? " [delay]" : ""}`,
        },
      ],
    },
  }));
  return { id: `week-${number}`, route: "planner", groups };
}

function isWhole(count: TrainerCount): boolean {
  return count.expected > 0 && count.delivered === count.expected &&
    count.duplicates === 0 && count.lost === 0 && count.unversioned === 0 &&
    count.stale === 0;
}

async function demo(): Promise<boolean> {
  await bundlePrograms();
  const deployment = new Deployment();
  try {
    const instance = await deployment.startInstance();
    console.log(`Instance listens at ${instance.url}`);
    const engines = [];
    for (let i = 0; i < ENGINES; i += 1) {
      engines.push(
        await deployment.startEngine({
          id: `planner-${i}`,
          announceTo: [instance.url],
          delayMs: i === 0 ? DELAY_MS : 0,
        }),
      );
    }
    console.log(`${ENGINES} engines announced themselves`);
    const trainer = deployment.startFake("trainer", {
      entries: [instance.url],
      key: keyOf("artis"),
      announce: { model: "planner", version: 1 },
      steps: Array.from({ length: STEPS }, (_, i) => stepOf(i + 1)),
    });
    await trainer.waitForLine((line) => {
      const { delivered, expected } = JSON.parse(line);
      return delivered >= expected * KILL_AT_SHARE;
    });
    engines[1].child.kill("SIGKILL");
    console.log("Killed engine planner-1");
    await trainer.ended();
    for (const line of trainer.lines.slice(0, -1)) console.log(line);
    const last = trainer.lines.at(-1) ?? "{}";
    console.log(last);
    return isWhole(JSON.parse(last));
  } finally {
    await deployment.stop();
  }
}

demo()
  .then((isDone) => process.exit(isDone ? 0 : 1))
  .catch((err) => {
    console.error(err);
    process.exit(1);
  });
