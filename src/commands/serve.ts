/** Command that runs an instance. */
import { defineCommand } from "citty";
import { loadSettings } from "../settings/mod.ts";
import { Instance } from "../tasks/instance.ts";

/** Runs an instance until SIGTERM or SIGINT, then drains it. */
export const serve = defineCommand({
  meta: {
    name: "serve",
    description: "Run one instance. " +
      "Example: nutmegreel serve --settings nl-1-a.json",
  },
  args: {
    settings: {
      type: "string",
      required: true,
      description: "Settings file of the instance",
      valueHint: "FILE",
    },
  },
  async run({ args }) {
    process.stdout.on("error", () => {
      // Keeps the instance serving after the reader of its log has closed it.
    });
    const instance = await Instance.create(loadSettings(args.settings));
    await instance.start();
    await new Promise<void>((resolve) => {
      const stop = () => resolve();
      process.on("SIGTERM", stop);
      process.on("SIGINT", stop);
    });
    await instance.drain();
  },
});
