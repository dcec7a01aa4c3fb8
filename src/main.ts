/** The command-line interface of nutmegreel. */
import { type CommandDef, defineCommand, renderUsage, runCommand } from "citty";
import { CommandError } from "./commands/command_error.ts";
import { config } from "./commands/config.ts";
import { explain } from "./commands/explain.ts";
import { ExitCode } from "./commands/exit_code.ts";
import { init } from "./commands/init.ts";
import { status, steps, usage } from "./commands/inspect.ts";
import { keys } from "./commands/keys.ts";
import { outputs } from "./commands/outputs.ts";
import { replay } from "./commands/replay.ts";
import { serve } from "./commands/serve.ts";
import { version } from "./commands/version.ts";

type Commands = Readonly<Record<string, CommandDef>>;

const COMMANDS = {
  serve,
  init,
  config,
  keys,
  status,
  steps,
  usage,
  replay,
  explain,
  outputs,
  version,
} as unknown as Commands;

/**
 * Runs the program with the arguments of the process, then ends the process.
 * @param platformCommands - Commands that the platform provides.
 */
export async function runProgram(platformCommands: Commands): Promise<void> {
  const main = defineCommand({
    meta: {
      name: "nutmegreel",
      description: "Rollout service for reinforcement learning",
    },
    subCommands: { ...COMMANDS, ...platformCommands },
  });
  const rawArgs = process.argv.slice(2);
  const isHelp = rawArgs.includes("--help") || rawArgs.includes("-h");
  process.exit(
    await (isHelp ? showHelp(main, rawArgs) : run(main, rawArgs)),
  );
}

async function run(main: CommandDef, rawArgs: string[]): Promise<ExitCode> {
  try {
    await runCommand(main, { rawArgs });
    return ExitCode.Done;
  } catch (err) {
    const error = err as Error;
    console.error(error.message);
    if (error instanceof CommandError) return error.exitCode;
    return error.name === "CLIError" ? ExitCode.Usage : ExitCode.Failed;
  }
}

/** Prints the usage of the innermost subcommand among the arguments. */
async function showHelp(
  main: CommandDef,
  rawArgs: readonly string[],
): Promise<ExitCode> {
  let command = main;
  let parent: CommandDef | undefined;
  for (const arg of rawArgs) {
    const found = (command.subCommands as Commands | undefined)?.[arg];
    if (found === undefined) break;
    parent = command;
    command = found;
  }
  console.log(await renderUsage(command, parent));
  return ExitCode.Done;
}
