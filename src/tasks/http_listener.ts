/** Beginning to listen for HTTP. */
import type { Server } from "node:http";

/**
 * Begins to listen.
 * @throws Error of the socket where the address cannot be had.
 */
export function listenOn(
  server: Server,
  address: { readonly host: string; readonly port: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
