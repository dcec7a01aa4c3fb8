/** Bundles each program into a single file under `dist/` or `target/`. */
import { build } from "esbuild";

const BANNER =
  "import { createRequire as __createRequire } from 'node:module';" +
  "const require = __createRequire(import.meta.url);";

/** Optional native add-ons, without which the libraries work; not bundled. */
const OPTIONAL_MODULES = [
  "dtrace-provider",
  "mv",
  "source-map-support",
  "unix-dgram",
  "bufferutil",
  "utf-8-validate",
  "msgpackr-extract",
];

/**
 * Bundles every program that the tests, the demo and the benchmarks start.
 *
 * @example
 * ```ts
 * await bundlePrograms();
 * ```
 */
export async function bundlePrograms(): Promise<void> {
  await bundleModules({
    nutmegreel: "src/main.ts",
    fake: "fakes/main.ts",
    fleet: "platform/main.ts",
  }, "dist");
}

/** Bundles the program as CommonJS, which a single executable requires. */
export async function bundleExecutable(): Promise<void> {
  await build({
    entryPoints: { "nutmegreel": "src/main.ts" },
    outdir: "dist",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    external: OPTIONAL_MODULES,
    logLevel: "error",
  });
}

/** Bundles the program that is deployed on the users' platform. */
export async function bundleFleet(): Promise<void> {
  await bundleModules({ "nutmegreel": "platform/main.ts" }, "target");
}

/** Bundles each entry point as an ECMAScript module. */
async function bundleModules(
  entryPoints: Readonly<Record<string, string>>,
  outdir: string,
): Promise<void> {
  await build({
    entryPoints,
    outdir,
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    external: OPTIONAL_MODULES,
    banner: { js: BANNER },
    // Reduces parsing at start-up; identifiers are kept for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "error",
  });
}
