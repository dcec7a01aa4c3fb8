/** Views: who keeps a ledger. */
export * from "./ledger_view.ts";
