/** Command that creates the initial replicas of the control log. */
import { defineCommand } from "citty";
import { NutmegreelError } from "../core/errors/mod.ts";
import { loadSettings } from "../settings/mod.ts";
import { ControlState } from "../core/control/mod.ts";
import { CONTROL_LOG } from "../tasks/control/control_driver.ts";
import { LogStore } from "../tasks/log/mod.ts";

/**
 * Creates the store of an initial replica of the control log.
 *
 * Run once on each control instance of a new system. An instance that loses its
 * disk later is started without this command and joins as a new replica.
 */
export const init = defineCommand({
  meta: {
    name: "init",
    description: "Create the control log's store on a control instance of a " +
      "new system. Example: nutmegreel init --settings nl-1-a.json",
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
    const { id, dataFolder, peers } = loadSettings(args.settings);
    const instances = peers.filter((peer) => peer.control).map((p) => p.id);
    if (dataFolder === undefined || !instances.includes(id)) {
      throw new NutmegreelError(
        "notControl",
        "Expected dataFolder and an entry of this instance in peers with control",
      );
    }
    const isCreated = await LogStore.create({
      dataFolder,
      name: CONTROL_LOG,
      emptyState: new ControlState().save(),
      instances,
    });
    console.log(isCreated ? "Created" : "Exists already; unchanged");
  },
});
