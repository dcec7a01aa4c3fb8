/** Bundles each program into a single file under `dist/` or `target/`. */
import { execFileSync, spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import { build, type BuildOptions, type Plugin } from "esbuild";
import { COMPILE_ARGUMENT, getCachePath } from "../platform/code_cache.ts";

const MAX_ARCHIVE_BYTES = 67_108_864;

/** First line of a bundle, by which bundled CommonJS modules can load others. */
export const REQUIRE_BANNER =
  "import { createRequire as __createRequire } from 'node:module';" +
  "const require = __createRequire(import.meta.url);";

/** Optional native add-ons, without which the libraries work; not bundled. */
export const OPTIONAL_MODULES = [
  "dtrace-provider",
  "mv",
  "source-map-support",
  "unix-dgram",
  "bufferutil",
  "utf-8-validate",
  "msgpackr-extract",
];

/** Options of all bundles. */
const BUNDLE_OPTIONS: BuildOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  external: OPTIONAL_MODULES,
  // Reduces parsing at start-up; identifiers are kept for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "error",
};

const DEPLOY_FILE = "deploy/system.toml";
const RUN_PATTERN = /^run = "node (.*) ?target\/nutmegreel\.mjs"$/gm;
/** Folder of the program that is deployed. */
const FLEET_FOLDER = "target";
/** Program of a fleet. */
const FLEET_ENTRY = "platform/main.ts";
/**
 * Bundles only the parts of undici that the program of a fleet uses; an import
 * of another part fails the build.
 */
const UNDICI_CLIENT: Plugin = {
  name: "undici-client",
  setup: ({ onResolve }) =>
    onResolve({ filter: /^undici$/ }, () => ({
      path: resolve("scripts/undici_client.mjs"),
    })),
};

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
    nutmegreel: "platform/command_line.ts",
    fake: "fakes/main.ts",
  }, "dist");
  await bundleModules({ fleet: FLEET_ENTRY }, "dist", [UNDICI_CLIENT]);
}

/**
 * Bundles the program of a fleet as it was at a commit of this repository, with
 * the current libraries.
 * @returns Name of the program in `dist/`.
 * @throws Error if git does not know the commit.
 */
export async function bundleFleetAt(commit: string): Promise<string> {
  const program = `fleet-${commit}`;
  const folder = join("dist", `source-${commit}`);
  mkdirSync(folder, { recursive: true });
  const archive = execFileSync("git", ["archive", commit, "src", "platform"], {
    maxBuffer: MAX_ARCHIVE_BYTES,
  });
  execFileSync("tar", ["-x", "-C", folder], { input: archive });
  await bundleModules({ [program]: join(folder, "platform/main.ts") }, "dist");
  return program;
}

/** Bundles the program as CommonJS, which a single executable requires. */
export async function bundleExecutable(): Promise<void> {
  await build({
    entryPoints: { "nutmegreel": "platform/command_line.ts" },
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

/**
 * Bundles the program that is deployed on the users' platform, and compiles it
 * for the options of each role.
 * @throws Error if the program stores no compiled code.
 */
export async function bundleFleet(): Promise<void> {
  await build({
    ...BUNDLE_OPTIONS,
    entryPoints: { nutmegreel: FLEET_ENTRY },
    outdir: FLEET_FOLDER,
    outExtension: { ".js": ".cjs" },
    plugins: [UNDICI_CLIENT],
    format: "cjs",
  });
  await bundleModules({ nutmegreel: "platform/loader.ts" }, FLEET_FOLDER);
  for (const options of getNodeOptions()) compileFleet(options);
}

/** Gets the options of node in the deploy file, each set once. */
function getNodeOptions(): string[] {
  const text = readFileSync(DEPLOY_FILE, "utf8");
  const runs = [...text.matchAll(RUN_PATTERN)].map(([, options]) => options);
  return [...new Set(runs)];
}

/** Lets the program store its compiled code: it ends, as it has no settings. */
function compileFleet(options: string): void {
  const nodeOptions = options.split(" ").filter((option) => option !== "");
  const program = join(FLEET_FOLDER, "nutmegreel");
  const cache = getCachePath(`${program}.cjs`, nodeOptions);
  rmSync(cache, { force: true });
  const { NUTMEGREEL_SETTINGS: _, ...env } = process.env;
  spawnSync(process.execPath, [
    ...nodeOptions,
    `${program}.mjs`,
    COMPILE_ARGUMENT,
  ], { env, stdio: "ignore" });
  if (!existsSync(cache)) throw new Error(`No compiled code in ${cache}`);
}

/** Bundles each entry point as an ECMAScript module. */
async function bundleModules(
  entryPoints: Readonly<Record<string, string>>,
  outdir: string,
  plugins: Plugin[] = [],
): Promise<void> {
  await build({
    ...BUNDLE_OPTIONS,
    entryPoints,
    outdir,
    plugins,
    outExtension: { ".js": ".mjs" },
    format: "esm",
    banner: { js: REQUIRE_BANNER },
  });
}
