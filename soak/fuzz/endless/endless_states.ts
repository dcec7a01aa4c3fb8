/** States of each parser in which a party goes on without end. */
import { FLEET_NAMES } from "../../../tests/support/fleet_policy.ts";
import { FLEET_KEY } from "../../../tests/support/fleet_fixture.ts";
import type { EndlessBytes } from "./endless_writer.ts";

/** Writers of a party, by the state of the parser that reads them. */
export type EndlessStates = Readonly<Record<string, EndlessBytes>>;

const { host, rollout, stream, model } = FLEET_NAMES;
const FILLER = "x".repeat(1_024);
const LARGE_BYTES = 30_000_000;
const LENGTH = `Content-Length: ${LARGE_BYTES}\r\n\r\n`;
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const CHUNK = `400\r\n${FILLER}\r\n`;

const headOf = (method: string, path: string) =>
  `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n` +
  `Authorization: Bearer ${FLEET_KEY}\r\nModel: ${model}\r\n`;

/** Creates the states of a server's parser for one request. */
function requestStates(method: string, path: string): EndlessStates {
  const head = headOf(method, path);
  return {
    "request line": { first: `${method} /`, repeated: FILLER },
    "empty lines": { first: "", repeated: "\r\n" },
    "header": { first: `${head}X: `, repeated: FILLER },
    "header lines": { first: head, repeated: "X: y\r\n" },
    "body with a length": { first: head + LENGTH, repeated: FILLER },
    "body in chunks": { first: head + CHUNKED, repeated: CHUNK },
    "body in tiny chunks": {
      first: head + CHUNKED,
      repeated: "1\r\nx\r\n",
    },
    "chunk size": { first: head + CHUNKED, repeated: "0" },
    "chunk extension": { first: `${head}${CHUNKED}1;`, repeated: FILLER },
    "trailer": { first: `${head}${CHUNKED}0\r\n`, repeated: "X: y\r\n" },
    "part of a body": {
      first: head + LENGTH + "y".repeat(LARGE_BYTES - 1),
    },
    "requests one after the other": {
      first: "",
      repeated: `${head}Content-Length: 1\r\n\r\nx`,
    },
    "requests with unread responses": {
      first: "",
      repeated: `${head}Content-Length: 1\r\n\r\nx`,
      isDeaf: true,
    },
  };
}

/** States of a caller's request to an entry instance. */
export const CALLER_STATES: EndlessStates = requestStates(
  "POST",
  "/odd-plain/a",
);

/** States of a trainer's batch. */
export const TRAINER_STATES: EndlessStates = {
  "items": {
    first: `${headOf("POST", `${rollout}a`)}Request-Id: b\r\n${CHUNKED}` +
      `f\r\n{"requests":[{}\r\n`,
    repeated: `401\r\n,${FILLER}\r\n`,
  },
  "reads with unread responses": {
    first: "",
    repeated: `${headOf("GET", "/-/lots/a")}\r\n`,
    isDeaf: true,
  },
  "streams with unread responses": {
    first: "",
    repeated: `${headOf("POST", `${stream}a`)}Content-Length: 0\r\n\r\n`,
    isDeaf: true,
  },
};

/** States of an operator's request to a control instance. */
export const OPERATOR_STATES: EndlessStates = requestStates(
  "POST",
  "/-/Config.Replace",
);

/** States of a target's report to a control instance. */
export const REPORTER_STATES: EndlessStates = requestStates(
  "POST",
  "/-/Instances.Heartbeat/endless",
);

const UPGRADE = "GET /peer HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n" +
  "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n";
const UPGRADED =
  `${UPGRADE}Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n`;

const Opcode = { Continuation: 0, Text: 1, Binary: 2, Ping: 9 } as const;
const FINAL = 0x80;
const MASKED = 0x80;
const LENGTH_64 = 127;
const LENGTH_16 = 126;
const HUGE_BYTES = 100_000_000;
const FRAGMENT_BYTES = 1_024;

/** Creates the head of a masked frame, with a mask that changes nothing. */
function frameHead(first: number, length: number): Buffer {
  const head = Buffer.alloc(length < LENGTH_16 ? 6 : 14);
  head[0] = first;
  if (length < LENGTH_16) {
    head[1] = MASKED | length;
    return head;
  }
  head[1] = MASKED | LENGTH_64;
  head.writeBigUInt64BE(BigInt(length), 2);
  return head;
}

function frame(first: number, bytes: Buffer): Buffer {
  return Buffer.concat([frameHead(first, bytes.length), bytes]);
}

const FRAGMENT = frame(Opcode.Continuation, Buffer.alloc(FRAGMENT_BYTES));

/** States of the messages of an instance. */
export const LINK_STATES: Readonly<Record<string, EndlessBytes>> = {
  "one huge message": {
    first: frameHead(FINAL | Opcode.Binary, HUGE_BYTES),
    repeated: Buffer.alloc(FRAGMENT_BYTES),
  },
  "a message in fragments": {
    first: frame(Opcode.Binary, Buffer.alloc(FRAGMENT_BYTES)),
    repeated: FRAGMENT,
  },
  "a message in empty fragments": {
    first: frame(Opcode.Binary, Buffer.alloc(FRAGMENT_BYTES)),
    repeated: frame(Opcode.Continuation, Buffer.alloc(0)),
  },
  "pings with unread answers": {
    first: "",
    repeated: frame(FINAL | Opcode.Ping, Buffer.alloc(100)),
    isDeaf: true,
  },
  "text messages": {
    first: "",
    repeated: frame(FINAL | Opcode.Text, Buffer.from("x".repeat(100))),
  },
};

/** States of an instance that has not proved its identity. */
export const STRANGER_STATES: EndlessStates = {
  "request line": { first: "GET /", repeated: FILLER },
  "header lines": { first: UPGRADE, repeated: "X: y\r\n" },
  "body without upgrade": {
    first: `POST /peer HTTP/1.1\r\nHost: x\r\n${CHUNKED}`,
    repeated: CHUNK,
  },
  ...Object.fromEntries(
    Object.entries(LINK_STATES).map(([name, bytes]) => [
      `${name} before the handshake`,
      {
        ...bytes,
        first: Buffer.concat([Buffer.from(UPGRADED), Buffer.from(bytes.first)]),
      },
    ]),
  ),
};

const OK = "HTTP/1.1 200 OK\r\nServer-Stamp: t1\r\n";
const EVENTS = `${OK}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n`;

/** States of a response of a target or of a receiver. */
export const RESPONSE_STATES: EndlessStates = {
  "status line": { first: "HTTP/1.1 200 ", repeated: FILLER },
  "empty lines": { first: "", repeated: "\r\n" },
  "header": { first: `${OK}X: `, repeated: FILLER },
  "header lines": { first: OK, repeated: "X: y\r\n" },
  "interim responses": {
    first: "",
    repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
  },
  "body without a length": { first: `${OK}\r\n`, repeated: FILLER },
  "body with a length": {
    first: `${OK}Content-Length: 9000000000000\r\n\r\n`,
    repeated: FILLER,
  },
  "body in chunks": { first: OK + CHUNKED, repeated: CHUNK },
  "chunk size": { first: OK + CHUNKED, repeated: "0" },
  "chunk extension": { first: `${OK}${CHUNKED}1;`, repeated: FILLER },
  "trailer": { first: `${OK}${CHUNKED}0\r\n`, repeated: "X: y\r\n" },
  "refusal": { first: "HTTP/1.1 500 Failed\r\n\r\n", repeated: FILLER },
  "comments": { first: `${EVENTS}\r\n`, repeated: ": c\n" },
  "fields": { first: `${EVENTS}\r\n`, repeated: "event: e\n" },
  "one event": { first: `${EVENTS}\r\ndata: `, repeated: FILLER },
  "data lines": { first: `${EVENTS}\r\n`, repeated: "data: x\n" },
  "events": { first: `${EVENTS}\r\n`, repeated: "data: x\n\n" },
};
