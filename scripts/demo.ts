/**
 * End-to-end demo: every sample is delivered exactly once although one engine
 * is slow and another is killed.
 */
import { Deployment, keyOf } from "../tests/support/deployment.ts";
import type { TrainerCount } from "../fakes/trainer.ts";
import { bundlePrograms } from "./bundle.ts";

const GROUPS = 24;
const SAMPLES_PER_GROUP = 8;
const ENGINES = 3;
/** Fraction of the expected samples after which an engine is killed. */
const KILL_AT_FRACTION = 0.3;
const STEPS = 2;
const DELAY_MS = 3_000;

function createStep(number: number) {
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

function isDeliveredOnce(count: TrainerCount): boolean {
  return count.expected > 0 && count.delivered === count.expected &&
    count.duplicates === 0 && count.lost === 0 && count.unversioned === 0 &&
    count.stale === 0;
}

async function runDemo(): Promise<boolean> {
  await bundlePrograms();
  const deployment = new Deployment();
  try {
    const instance = await deployment.startInstance();
    console.log(`Instance listening at ${instance.url}`);
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
    console.log(`${ENGINES} engines announced to the instance`);
    const trainer = deployment.startFake("trainer", {
      entries: [instance.url],
      key: keyOf("artis"),
      announce: { model: "planner", version: 1 },
      steps: Array.from({ length: STEPS }, (_, i) => createStep(i + 1)),
    });
    await trainer.waitForLine((line) => {
      const { delivered, expected } = JSON.parse(line);
      return delivered >= expected * KILL_AT_FRACTION;
    });
    engines[1].child.kill("SIGKILL");
    console.log("Killed engine planner-1");
    await trainer.waitForExit();
    for (const line of trainer.lines.slice(0, -1)) console.log(line);
    const last = trainer.lines.at(-1) ?? "{}";
    console.log(last);
    return isDeliveredOnce(JSON.parse(last));
  } finally {
    await deployment.stop();
  }
}

runDemo()
  .then((isSuccessful) => process.exit(isSuccessful ? 0 : 1))
  .catch((err) => {
    console.error(err);
    process.exit(1);
  });
