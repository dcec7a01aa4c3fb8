/** Bundles the fleet instance program into `target/`. */
import { bundleFleet } from "./bundle.ts";

bundleFleet().catch((err) => {
  console.error(err);
  process.exit(1);
});
