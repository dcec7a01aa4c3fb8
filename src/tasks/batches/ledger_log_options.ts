/** How the log of the ledger holds, reads, divides and compacts its entries. */
import {
  BatchState,
  detachTexts,
  estimateCommandBytes,
  holdCommand,
  LEDGER_SNAPSHOT_DIVIDER,
  LEDGER_TEXT_FORMS,
} from "../../core/batches/mod.ts";

/**
 * Texts of results that memory holds before a snapshot moves them to files, in
 * bytes; the leader's log may grow to so much while a member catches up.
 */
export const MAX_UNMOVED_BYTES = 16_777_216;

/** Options of the log of the ledger that do not depend on its instance. */
export const LEDGER_LOG_OPTIONS = {
  createState: () => new BatchState(),
  compactEntries: 8_192,
  compactBytes: 8_388_608,
  sizeOf: estimateCommandBytes,
  hold: holdCommand,
  forms: LEDGER_TEXT_FORMS,
  divider: LEDGER_SNAPSHOT_DIVIDER,
  detach: detachTexts,
};
