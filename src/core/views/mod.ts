/** Views of replicated ledgers. */
export * from "./ledger_view.ts";
