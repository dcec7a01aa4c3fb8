/** Responses to requests whose bodies have not arrived completely. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { RECLAIMER } from "../memory/mod.ts";

/** Time in which the sender reads the response, while it may send on. */
const LINGER_MS = 1_000;
/** Bytes that are dropped meanwhile. */
const MAX_DROPPED_BYTES = 1_048_576;

/**
 * Sends the last bytes of a response, and closes the connection once the sender
 * has had time to read them: closed at once, with bytes that nobody has read, it
 * is reset and the response lost. The head must name their length.
 */
export function endUnread(res: ServerResponse, bytes: Uint8Array): void {
  const { req } = res;
  const { socket } = req;
  const end = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  res.once("close", end);
  socket.once("end", end);
  res.write(bytes);
  req.resume();
  // A small body has come with its head.
  setImmediate(() => req.complete ? end() : dropInput(socket));
}

/**
 * Drops what a connection sends on, without a look at it: the parser of requests
 * takes a call for each chunk, however small, of which a sender makes thousands
 * with each read.
 */
function dropInput(socket: Socket): void {
  let droppedBytes = 0;
  // The server's parser reads a connection by itself until it has a listener.
  const onData = (part: Uint8Array) => {
    RECLAIMER.addShortLived(part.length);
    droppedBytes += part.length;
    if (droppedBytes > MAX_DROPPED_BYTES) socket.pause();
  };
  socket.on("data", onData);
  for (const listener of socket.listeners("data")) {
    if (listener !== onData) socket.off("data", listener as () => void);
  }
  socket.resume();
}
