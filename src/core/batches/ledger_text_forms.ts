/** Places in stored commands and snapshots whose texts leave the heap. */
import { HeldPieces } from "./held_pieces.ts";
import { HeldText } from "./held_text.ts";

/** Keys of the lists and maps that hold results. */
const RESULT_KEYS: ReadonlySet<string> = new Set(["result", "results"]);
/** Keys of the lists that hold partial outputs. */
const PARTIAL_TEXT_KEYS: ReadonlySet<string> = new Set(["records", "kept"]);

/** Gets the forms in which the texts of the ledger are read from its file. */
export const LEDGER_TEXT_FORMS = {
  getText: (parent: string, key: string) =>
    key === "text" && RESULT_KEYS.has(parent) ? HeldText.ofBytes : undefined,
  getList: (parent: string, key: string) =>
    key === "pieces" && PARTIAL_TEXT_KEYS.has(parent)
      ? HeldPieces.ofBytes
      : undefined,
};
