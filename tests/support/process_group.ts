/** Child processes of a test or of the demo. */
import {
  type ChildProcess,
  type ChildProcessByStdio,
  spawn,
} from "node:child_process";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";

/** A started process and the lines of its standard output. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** Lines of standard output so far. */
  readonly lines: readonly string[];
  /**
   * Waits for a line that a predicate accepts, among past and future lines.
   * @throws Error after 30 s, or if the process exits without such a line.
   */
  waitForLine(accepts: (line: string) => boolean): Promise<string>;
  /** Waits for the exit and gets the exit code; null after a signal. */
  waitForExit(): Promise<number | null>;
}

const LINE_TIMEOUT_MS = 30_000;

/** Tracks started processes and kills the ones that are left. */
export class ProcessGroup {
  readonly #children = new Set<ChildProcess>();

  /** Starts a bundled program of `dist/`; its standard error is inherited. */
  start(
    program: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ): StartedProcess {
    return this.#track(
      spawn(process.execPath, [`dist/${program}.mjs`, ...args], {
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, ...env },
      }),
    );
  }

  /** Starts a command; its lines hold its standard error, too. */
  startCommand(
    [file, ...args]: readonly string[],
    env: Readonly<Record<string, string | undefined>>,
  ): StartedProcess {
    return this.#track(
      spawn(file, args, { stdio: ["ignore", "pipe", "pipe"], env }),
    );
  }

  #track(
    child: ChildProcessByStdio<null, Readable, Readable | null>,
  ): StartedProcess {
    this.#children.add(child);
    const lines: string[] = [];
    const listeners = new Set<(line: string) => void>();
    const onLine = (line: string) => {
      lines.push(line);
      for (const listener of [...listeners]) listener(line);
    };
    createInterface({ input: child.stdout }).on("line", onLine);
    if (child.stderr) {
      createInterface({ input: child.stderr }).on("line", onLine);
    }
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
            const existing = lines.find(accepts);
            if (existing !== undefined) return existing;
            throw new Error(
              `Process exited with code ${code} before the expected line`,
            );
          }),
        ]),
      waitForExit: () => ended,
    };
  }

  /** Kills every process that still runs and waits for their exits. */
  async stop(): Promise<void> {
    const children = [...this.#children];
    const exits = children.map((child) =>
      new Promise<void>((resolve) => {
        if (child.exitCode !== null || child.signalCode !== null) resolve();
        child.once("exit", () => resolve());
      })
    );
    for (const child of children) child.kill("SIGKILL");
    await Promise.all(exits);
  }
}

function waitForLine(wait: {
  lines: readonly string[];
  listeners: Set<(line: string) => void>;
  accepts: (line: string) => boolean;
}): Promise<string> {
  const existing = wait.lines.find(wait.accepts);
  if (existing !== undefined) return Promise.resolve(existing);
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(
          new Error(
            `Expected line not among ${wait.lines.length} lines after 30 s`,
          ),
        ),
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
