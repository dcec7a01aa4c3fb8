/** Prepares the bundles that the multi-process tests start. */
import { bundlePrograms } from "./bundle.ts";

/** Runs once before all tests. */
export default async function setup(): Promise<void> {
  await bundlePrograms();
}
