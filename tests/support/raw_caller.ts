/** Caller that keeps the bytes of its response as they arrive. */
import { connect } from "node:net";
import { reportResetsAtEnd } from "../../src/tasks/paths/mod.ts";
import type { ConnectionEnd } from "./received_response.ts";

/** What a caller has received on its connection. */
export interface RawResponse {
  readonly bytes: Buffer;
  readonly end: ConnectionEnd;
}

/** Sends a request on a new connection, and reads until the connection ends. */
export function sendRaw(
  address: string,
  request: string,
): Promise<RawResponse> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let end: ConnectionEnd = "open";
    const socket = connect(Number(port), host, () => socket.write(request));
    reportResetsAtEnd(socket);
    socket.on("data", (part) => parts.push(part));
    socket.on("end", () => {
      end = "closed";
    });
    socket.on("error", () => {
      end = "reset";
    });
    socket.on("close", () => resolve({ bytes: Buffer.concat(parts), end }));
  });
}
