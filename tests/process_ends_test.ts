import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, expect, test } from "vitest";

const folders: string[] = [];
afterEach(() => {
  for (const folder of folders.splice(0)) rmSync(folder, { recursive: true });
});

function createFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "process-ends-"));
  folders.push(folder);
  return folder;
}

/** Runs the program; it gets a signal just before it reads its settings. */
async function doTestBeforeSettings(
  signal: NodeJS.Signals,
  expected: { code: number | null },
) {
  const folder = createFolder();
  const hook = join(folder, "hook.mjs");
  const program = JSON.stringify(join(process.cwd(), "dist/fleet.mjs"));
  writeFileSync(
    hook,
    `const send = () => process.kill(process.pid, "${signal}");
     process.env = new Proxy(process.env, {
       get(env, name) {
         if (name === "NUTMEGREEL_SETTINGS") send();
         return env[name];
       },
     });
     await import(${program});`,
  );
  const child = spawn(process.execPath, [hook], {
    stdio: ["ignore", "ignore", "ignore"],
    env: { ...process.env, NUTMEGREEL_SETTINGS: join(folder, "missing.json") },
  });
  const [code] = await once(child, "exit");
  expect(code).toBe(expected.code);
}

test("a signal before the settings are read is a planned stop", async () => {
  await doTestBeforeSettings("SIGTERM", { code: 0 });
  await doTestBeforeSettings("SIGINT", { code: 0 });
});

test("a reload signal before the settings are read does not end it", async () => {
  await doTestBeforeSettings("SIGHUP", { code: 1 });
  await doTestBeforeSettings("SIGUSR2", { code: 1 });
});
