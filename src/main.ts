/** The command line of nutmegreel. */
import { defineCommand, renderUsage, runCommand } from "citty";
import { ExitCode } from "./commands/exit_code.ts";
import { init } from "./commands/init.ts";
import { serve } from "./commands/serve.ts";
import { version } from "./commands/version.ts";

const subCommands = { init, serve, version };

const main = defineCommand({
  meta: {
    name: "nutmegreel",
    description: "Rollout service for reinforcement learning",
  },
  subCommands,
});

async function run(rawArgs: string[]): Promise<ExitCode> {
  try {
    await runCommand(main, { rawArgs });
    return ExitCode.Done;
  } catch (err) {
    const error = err as Error;
    console.error(error.message);
    return error.name === "CLIError" ? ExitCode.Usage : ExitCode.Failed;
  }
}

async function showHelp(rawArgs: readonly string[]): Promise<ExitCode> {
  const name = rawArgs.find((arg) => arg in subCommands);
  const found = name === undefined
    ? undefined
    : subCommands[name as keyof typeof subCommands];
  console.log(await renderUsage((found ?? main) as typeof main));
  return ExitCode.Done;
}

const rawArgs = process.argv.slice(2);
const isHelp = rawArgs.includes("--help") || rawArgs.includes("-h");
const exitCode = isHelp || rawArgs.length === 0
  ? showHelp(rawArgs)
  : run(rawArgs);
exitCode.then((code) => process.exit(code));
