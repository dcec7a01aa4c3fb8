/** Vitest global setup: bundles the programs that multi-process tests start. */
import { bundlePrograms } from "./bundle.ts";

/** Bundles the programs, once before all tests. */
export default async function setup(): Promise<void> {
  await bundlePrograms();
}
