/** Direct connections to addresses. */
import { connect, type Socket, type TcpNetConnectOpts } from "node:net";
import { errors } from "undici";
import { relabelResets, reportResetsAtEnd } from "./connection_reset.ts";

/** Host and port of a target. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Starts to open a connection, which is not established yet. */
export type Dial = (endpoint: Endpoint) => Socket;

/** Time without data after which the kernel probes a connection. */
const KEEP_ALIVE_IDLE_MS = 60_000;
const READ_BUFFER_BYTES = 65_536;
const DEFAULT_PORT = 80;

/** Dials an endpoint over TCP. */
export const dialTcp: Dial = ({ host, port }) => {
  const options: TcpNetConnectOpts & { readonly highWaterMark: number } = {
    host,
    port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_IDLE_MS,
    highWaterMark: READ_BUFFER_BYTES,
  };
  return connect(options);
};

/**
 * Parses an address of the form `HOST:PORT`.
 *
 * @example
 * ```ts
 * parseEndpoint("10.0.0.7:8648"); // { host: "10.0.0.7", port: 8648 }
 * ```
 */
export function parseEndpoint(address: string): Endpoint {
  const { hostname, port } = new URL(`http://${address}`);
  return {
    host: hostname.replace(/^\[|\]$/g, ""),
    port: port === "" ? DEFAULT_PORT : Number(port),
  };
}

/**
 * Waits until a dialled connection is established.
 * @throws The error of the connection, or a ConnectTimeoutError.
 */
export function untilConnected(
  socket: Socket,
  timeoutMs: number,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      socket.destroy(new errors.ConnectTimeoutError("Connect timeout"));
    }, timeoutMs);
    const onError = (err: Error) => {
      clearTimeout(timer);
      reject(err);
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      relabelResets(socket);
      reportResetsAtEnd(socket);
      resolve(socket);
    });
  });
}
