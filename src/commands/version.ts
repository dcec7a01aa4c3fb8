/** Command that prints the version. */
import { defineCommand } from "citty";
import manifest from "../../package.json" with { type: "json" };

/** Version of the program, from package.json. */
export const VERSION: string = manifest.version;

/** Prints the version. */
export const version = defineCommand({
  meta: {
    name: "version",
    description: "Print the version. Example: nutmegreel version",
  },
  run() {
    console.log(`nutmegreel ${VERSION}`);
  },
});
