/** Schemas of what other writers say: targets, operators and instances. */
export * from "./fleet_notice_schema.ts";
export * from "./fleet_request_schemas.ts";
export * from "./json_list.ts";
export * from "./log_message_schema.ts";
export * from "./nesting.ts";
export * from "./policy_document_schema.ts";
export * from "./presence_schema.ts";
export * from "./refusal_text.ts";
export * from "./scalar_schemas.ts";
export * from "./target_report_schema.ts";
