/** File that tells a process whether the one before ended with a last line. */
import {
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import * as z from "zod";
import type { Logger } from "../../logging/mod.ts";
import type { FleetSettings } from "../../settings/mod.ts";

const FILE_NAME = "process.json";
/** Number of the field of /proc/PID/stat after the name: ticks at the start. */
const START_FIELD = 19;

const markerSchema = z.object({
  pid: z.number().int().positive(),
  /** Start of the process in ticks of the system; absent where not known. */
  startTicks: z.string().max(100).optional(),
  startedAt: z.string().max(100),
  build: z.string().max(100),
});

type Marker = z.output<typeof markerSchema>;

/** Options of {@link ProcessMarker}. */
export interface ProcessMarkerOptions {
  readonly settings: Pick<FleetSettings, "id" | "peerPort" | "dataFolder">;
  readonly logger: Logger;
  /** Identifier of the program. */
  readonly build: string;
}

/**
 * Keeps a file while the process runs and removes it at an end with a last
 * line; where the file is left, the process before was killed, ran out of
 * memory, or its machine lost power.
 *
 * @example
 * ```ts
 * const marker = new ProcessMarker({ settings, logger, build }).begin();
 * marker.end();
 * ```
 * @remarks The file is never synced: after a loss of power it may be missing or
 * empty, which tells nothing. No failure of the file ends the process.
 */
export class ProcessMarker {
  readonly #options: ProcessMarkerOptions;
  readonly #path: string;
  readonly #own: Marker;

  /** Creates the marker of this process. */
  constructor(options: ProcessMarkerOptions) {
    this.#options = options;
    this.#path = pathOf(options.settings);
    this.#own = {
      pid: process.pid,
      startTicks: readStartTicks(process.pid),
      startedAt: new Date(Date.now() - process.uptime() * 1_000).toISOString(),
      build: options.build,
    };
  }

  /** Reports an end of the process before without a line; writes the file. */
  begin(): this {
    const before = this.#read();
    if (before !== undefined && !this.#isRunning(before)) {
      const { startedAt, build, pid } = before;
      this.#options.logger.event("endUnlogged", { startedAt, build, pid });
    }
    this.#try(() => {
      mkdirSync(dirname(this.#path), { recursive: true });
      const file = `${this.#path}.${process.pid}`;
      rmSync(file, { force: true });
      writeFileSync(file, JSON.stringify(this.#own), {
        flag: "wx",
        mode: 0o600,
      });
      renameSync(file, this.#path);
    });
    return this;
  }

  /** Removes the file, unless it is that of a later process. */
  end(): void {
    const current = this.#read();
    if (current?.pid !== process.pid) return;
    if (current.startedAt !== this.#own.startedAt) return;
    this.#try(() => rmSync(this.#path, { force: true }));
  }

  #read(): Marker | undefined {
    try {
      const input: unknown = JSON.parse(readFileSync(this.#path, "utf8"));
      return markerSchema.safeParse(input).data;
    } catch {
      // The file is missing, empty or that of another user.
      return undefined;
    }
  }

  /** Gets whether the process of a marker still runs, as during a restart. */
  #isRunning({ pid, startTicks }: Marker): boolean {
    return startTicks !== undefined && readStartTicks(pid) === startTicks;
  }

  #try(action: () => void): void {
    try {
      action();
    } catch (err) {
      const detail = (err as Error).message;
      this.#options.logger.event("processMarkerFailed", { detail });
    }
  }
}

function pathOf(settings: ProcessMarkerOptions["settings"]): string {
  const { id, peerPort, dataFolder } = settings;
  if (dataFolder !== undefined) return join(dataFolder, FILE_NAME);
  return join(tmpdir(), `nutmegreel-${id}-${peerPort}.json`);
}

/** Gets when a process started; undefined if it does not run or is not known. */
function readStartTicks(pid: number): string | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    return stat.slice(stat.lastIndexOf(")") + 2).split(" ")[START_FIELD];
  } catch {
    return undefined;
  }
}
