/** Bodies of requests, within a bound for all of them. */
export * from "./request_bodies.ts";
export * from "./unread_request.ts";
export * from "./body_pool.ts";
export * from "./unread_responses.ts";
export * from "./received_body.ts";
