/** Memory of a process for what other parties send. */
export * from "./message_packer.ts";
export * from "./memory_reclaimer.ts";
