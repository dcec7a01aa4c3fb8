/** Builds the single executable `dist/nutmegreel`. */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, rmSync, writeFileSync } from "node:fs";
import { bundleExecutable, bundlePrograms } from "./bundle.ts";

const OUTPUT = "dist/nutmegreel";
const BLOB = "dist/nutmegreel.blob";
const CONFIG = "dist/executable.json";
/** Sentinel in the Node.js binary that marks where the blob is injected. */
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

async function main(): Promise<void> {
  await bundlePrograms();
  await bundleExecutable();
  writeFileSync(
    CONFIG,
    JSON.stringify({
      main: "dist/nutmegreel.cjs",
      output: BLOB,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ["--experimental-sea-config", CONFIG]);
  rmSync(OUTPUT, { force: true });
  copyFileSync(process.execPath, OUTPUT);
  chmodSync(OUTPUT, 0o755);
  execFileSync("node_modules/.bin/postject", [
    OUTPUT,
    "NODE_SEA_BLOB",
    BLOB,
    "--sentinel-fuse",
    SENTINEL_FUSE,
  ]);
  console.log(`Built ${OUTPUT}`);
}

main().catch((err) => {
  console.error(err);
  process.exit(1);
});
