/** Runs a fake as a process: `fake engine '{"id":"e1",…}'`. */
import { FakeEngine } from "./engine.ts";
import { FakeTrainer, type TrainerStep } from "./trainer.ts";

const [kind, text = "{}"] = process.argv.slice(2);
const options = JSON.parse(text);

const FAKES: Readonly<Record<string, () => Promise<void>>> = {
  engine: async () => {
    const url = await new FakeEngine(options).start();
    console.log(JSON.stringify({ ready: url }));
  },
  trainer: async () => {
    const trainer = new FakeTrainer(options);
    const { announce, steps } = options as {
      announce?: { model: string; version: number };
      steps: TrainerStep[];
    };
    if (announce !== undefined) {
      await trainer.announce(announce.model, announce.version);
    }
    for (const step of steps) {
      await trainer.run(
        step,
        (delivered, expected) =>
          console.log(JSON.stringify({ step: step.id, delivered, expected })),
      );
    }
    console.log(JSON.stringify(trainer.count));
  },
};

const run = FAKES[kind];
if (run === undefined) {
  console.error(`Unknown fake ${kind}; expected engine or trainer`);
  process.exit(2);
}
run().catch((err) => {
  console.error(err);
  process.exit(1);
});
