/** Starts and ends the processes of a test or of the demo. */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** A started process and the lines that it prints. */
export interface StartedProcess {
  /** Process. */
  readonly child: ChildProcess;
  /** Lines printed so far. */
  readonly lines: readonly string[];
  /** Waits for a line that a check accepts. */
  waitForLine(accepts: (line: string) => boolean): Promise<string>;
  /** Waits for the end and gets the exit code. */
  ended(): Promise<number | null>;
}

const LINE_TIMEOUT_MS = 30_000;

/** Keeps the processes that a test has started, and ends them by id. */
export class ProcessGroup {
  readonly #children = new Set<ChildProcess>();

  /** Starts a bundled program of `dist/`. */
  start(
    program: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ): StartedProcess {
    const child = spawn(process.execPath, [`dist/${program}.mjs`, ...args], {
      stdio: ["ignore", "pipe", "inherit"],
      env: { ...process.env, ...env },
    });
    this.#children.add(child);
    const lines: string[] = [];
    const listeners = new Set<(line: string) => void>();
    createInterface({ input: child.stdout }).on("line", (line) => {
      lines.push(line);
      for (const listener of [...listeners]) listener(line);
    });
    const ended = new Promise<number | null>((resolve) => {
      child.once("close", (code) => {
        this.#children.delete(child);
        resolve(code);
      });
    });
    return {
      child,
      lines,
      waitForLine: (accepts) =>
        Promise.race([
          waitForLine({ lines, listeners, accepts }),
          ended.then((code) => {
            const known = lines.find(accepts);
            if (known !== undefined) return known;
            throw new Error(`Process ended with ${code}`);
          }),
        ]),
      ended: () => ended,
    };
  }

  /** Ends every process that still runs. */
  async stop(): Promise<void> {
    const children = [...this.#children];
    const ends = children.map((child) =>
      new Promise<void>((resolve) => {
        if (child.exitCode !== null || child.signalCode !== null) resolve();
        child.once("exit", () => resolve());
      })
    );
    for (const child of children) child.kill("SIGKILL");
    await Promise.all(ends);
  }
}

function waitForLine(wait: {
  lines: readonly string[];
  listeners: Set<(line: string) => void>;
  accepts: (line: string) => boolean;
}): Promise<string> {
  const known = wait.lines.find(wait.accepts);
  if (known !== undefined) return Promise.resolve(known);
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`No such line among ${wait.lines.length}`)),
      LINE_TIMEOUT_MS,
    );
    const listener = (line: string) => {
      if (!wait.accepts(line)) return;
      clearTimeout(timer);
      wait.listeners.delete(listener);
      resolve(line);
    };
    wait.listeners.add(listener);
  });
}
