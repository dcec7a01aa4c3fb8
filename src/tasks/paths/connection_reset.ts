/** Resets of connections to targets, which never look like the end of a response. */
import type { Duplex } from "node:stream";
import { NutmegreelError } from "../../core/errors/mod.ts";

/** A connection that can be closed with a reset. */
export interface ResettableSocket extends Duplex {
  resetAndDestroy(): unknown;
  /** Whether it must carry no further request. */
  readonly isDraining?: boolean;
}

const RESET_CODE = "ECONNRESET";
/** Code by which the HTTP client takes an error for that of a connection. */
const SOCKET_ERROR_CODE = "UND_ERR_SOCKET";

/** Error of a connection that was reset. */
export class ConnectionResetError extends NutmegreelError {
  constructor(message: string) {
    super(SOCKET_ERROR_CODE, message);
  }
}

/**
 * Replaces the code of resets before the HTTP client sees it. The client takes a
 * reset for the end of a response that has no length and ends with its
 * connection, and does so by the error's code.
 */
export function relabelResets(socket: Duplex): void {
  socket.on("error", (err: NodeJS.ErrnoException) => {
    if (err.code === RESET_CODE) err.code = SOCKET_ERROR_CODE;
  });
}

/**
 * Reports a reset that looks like the end of the data. If it arrives while the
 * reading is paused, the kernel keeps its error for the next write and ends the
 * data without one. An empty write gets that error, and sends nothing where the
 * target has closed the connection.
 *
 * @example
 * ```ts
 * socket.on("error", onReset);
 * reportResetsAtEnd(socket);
 * ```
 */
export function reportResetsAtEnd(socket: Duplex): void {
  // The socket refuses writes once its own listener has seen the end.
  socket.prependListener("end", () => {
    if (socket.destroyed || socket.writableEnded) return;
    socket.write("");
    if (socket.errored === null) return;
    socket.emit(
      "error",
      new ConnectionResetError("The connection was reset by the target"),
    );
  });
}

/**
 * Resets a connection. The client is told by an error: without one it looks for
 * the end of a response, and fails an assertion if it has paused the reading.
 * @param err - Why the connection is reset.
 */
export function resetConnection(
  socket: ResettableSocket,
  err: Error = new ConnectionResetError(
    "The connection was reset by this instance",
  ),
): void {
  if (socket.destroyed) return;
  socket.emit("error", err);
  socket.resetAndDestroy();
}
