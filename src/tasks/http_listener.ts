/** Start and shutdown of HTTP listeners. */
import type { Server } from "node:http";
import { Server as SocketServer } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";

/** Longest wait for a turn of the event loop without new connections. */
const MAX_QUIET_WAIT_MS = 500;
/** Longest turn after which no connection is expected to await acceptance. */
const QUIET_TURN_MS = 0.1;
const IDLE_CLOSE_INTERVAL_MS = 50;

/**
 * Starts listening; a server that could not can be tried again.
 * @throws Error of the socket if it cannot listen at the address.
 */
export function listenOn(
  server: Server,
  address: { readonly host: string; readonly port: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.off("error", onError);
      resolve();
    };
    const onError = (err: Error) => {
      server.off("listening", onListening);
      reject(err);
    };
    server.once("error", onError);
    server.once("listening", onListening);
    server.listen(address.port, address.host);
  });
}

/**
 * Stops listening and waits until the requests of all accepted connections have
 * been answered.
 * @param timeoutMs - Longest wait, in milliseconds.
 * @returns Whether all connections have ended in time.
 *
 * @example
 * ```ts
 * const isDrained = await drainListener(server, 5_000);
 * ```
 */
export async function drainListener(
  server: Server,
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = performance.now() + timeoutMs;
  let isClosed = false;
  await stopAccepting(server, () => isClosed = true);
  while (!isClosed && performance.now() < endsAt) {
    server.closeIdleConnections();
    await sleep(IDLE_CLOSE_INTERVAL_MS);
  }
  return isClosed;
}

/**
 * Closes the listening socket, after the connections that wait for acceptance
 * have been accepted.
 *
 * The HTTP server's own `close` first destroys idle connections, and others may
 * arrive meanwhile.
 * @param onClosed - Called when all connections have ended.
 */
export async function stopAccepting(
  server: Server,
  onClosed: () => void,
): Promise<void> {
  await waitForQuietTurn(server);
  SocketServer.prototype.close.call(server, onClosed);
}

/**
 * Waits for a short turn of the event loop in which no connection arrived. The
 * kernel resets connections that it has established and that the process has
 * not accepted when the listener closes.
 */
async function waitForQuietTurn(server: Server): Promise<void> {
  const endsAt = performance.now() + MAX_QUIET_WAIT_MS;
  let hasNewConnection = false;
  const onConnection = () => hasNewConnection = true;
  server.on("connection", onConnection);
  let turnStartedAt: number;
  do {
    hasNewConnection = false;
    turnStartedAt = performance.now();
    await nextTurn();
  } while (
    performance.now() < endsAt &&
    (hasNewConnection || performance.now() - turnStartedAt > QUIET_TURN_MS)
  );
  server.off("connection", onConnection);
}
