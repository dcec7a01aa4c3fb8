/** Program that emulates engines at loopback ports, for `bench/leader`. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { TARGETS } from "./load.ts";

/**
 * Time from a request to its first event: all runs of a round have started by
 * then, so that starts and events are measured apart.
 */
const FIRST_EVENT_MS = 600;
const EVENT_INTERVAL_MS = 40;
/** Number of events of a run. */
const EVENTS = 50;
const EVENT_DATA = "a few words of text ".repeat(6);

/** Message of the engines to the process that started them. */
export interface EnginesMessage {
  readonly addresses: readonly string[];
}

function generate(req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(200, {
    "request-id": String(req.headers["request-id"]),
    "server-stamp": "engine",
    "content-type": "text/event-stream",
    "weight-versions": "1",
  });
  // Otherwise the head is sent with the first event.
  res.flushHeaders();
  let event = Number(req.headers["last-event-id"] ?? 0);
  const sendNext = () => {
    if (res.destroyed) return;
    event += 1;
    res.write(`id: ${event}\ndata: ${EVENT_DATA}\n\n`);
    if (event < EVENTS) setTimeout(sendNext, EVENT_INTERVAL_MS);
    else res.end();
  };
  setTimeout(sendNext, FIRST_EVENT_MS);
}

async function startEngine(): Promise<string> {
  const server = createServer((req, res) => {
    req.resume();
    if (req.url !== "/-/report") return generate(req, res);
    res.end(JSON.stringify({ born: 1, seq: 0, busy: false, models: [] }));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function main(): Promise<void> {
  const addresses = await Promise.all(
    Array.from({ length: TARGETS }, () => startEngine()),
  );
  process.on("disconnect", () => process.exit(0));
  process.send?.({ addresses } satisfies EnginesMessage);
}

main().catch((err) => {
  console.error(err);
  process.exit(1);
});
