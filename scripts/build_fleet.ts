/** Bundles the program of a fleet's instances into `target/`. */
import { bundleFleet } from "./bundle.ts";

bundleFleet().catch((err) => {
  console.error(err);
  process.exit(1);
});
