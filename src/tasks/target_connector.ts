/** Connections to targets, whose resets never look like the end of a response. */
import type { Socket } from "node:net";
import { buildConnector } from "undici";
import { NutmegreelError } from "../core/errors/mod.ts";

const RESET_CODE = "ECONNRESET";
/** Code by which the HTTP client takes an error for that of a connection. */
const SOCKET_ERROR_CODE = "UND_ERR_SOCKET";

/** Error of a connection that this instance has reset. */
class ConnectionResetError extends NutmegreelError {
  constructor() {
    super(SOCKET_ERROR_CODE, "The connection was reset by this instance");
  }
}

/**
 * Creates a connector for targets.
 *
 * The HTTP client takes a reset for the end of a response that has no length and
 * ends with its connection. It does so by the error's code, which is replaced
 * before the client sees it.
 *
 * @param timeoutMs - Connect timeout, in milliseconds.
 */
export function createTargetConnector(
  timeoutMs: number,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.on("error", (err: NodeJS.ErrnoException) => {
        if (err.code === RESET_CODE) err.code = SOCKET_ERROR_CODE;
      });
      callback(...result);
    });
}

/**
 * Resets a connection. The client is told by an error: without one it looks for
 * the end of a response, and fails an assertion if it has paused the reading.
 */
export function resetConnection(socket: Socket): void {
  if (socket.destroyed) return;
  socket.emit("error", new ConnectionResetError());
  socket.resetAndDestroy();
}
