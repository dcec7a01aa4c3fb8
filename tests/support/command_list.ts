/** A state machine of tests that remembers all commands. */
import type { StateMachine } from "../../src/tasks/log/mod.ts";

/** Remembers all commands. */
export class CommandList implements StateMachine<string, string[], number> {
  #commands: string[] = [];

  apply(command: string): number {
    return this.#commands.push(command);
  }

  save(): string[] {
    return [...this.#commands];
  }

  load(commands: string[]): this {
    this.#commands = [...commands];
    return this;
  }
}
