/** Identifier of the running program. */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";

const ID_LENGTH = 12;

/** Gets the first characters of the program's hash; empty if not readable. */
export function readProgramBuild(file = process.argv[1] ?? ""): string {
  try {
    const hash = createHash("sha256").update(readFileSync(file)).digest("hex");
    return hash.slice(0, ID_LENGTH);
  } catch {
    return "";
  }
}
