/** How the log of the ledger holds, reads, divides and compacts its entries. */
import {
  BatchState,
  estimateCommandBytes,
  holdCommand,
  LEDGER_SNAPSHOT_DIVIDER,
  LEDGER_TEXT_FORMS,
} from "../../core/batches/mod.ts";

/** Options of the log of the ledger that do not depend on its instance. */
export const LEDGER_LOG_OPTIONS = {
  createState: () => new BatchState(),
  compactEntries: 8_192,
  compactBytes: 16_777_216,
  sizeOf: estimateCommandBytes,
  hold: holdCommand,
  forms: LEDGER_TEXT_FORMS,
  divider: LEDGER_SNAPSHOT_DIVIDER,
};
