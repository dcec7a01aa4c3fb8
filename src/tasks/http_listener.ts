/** Start of HTTP listeners. */
import type { Server } from "node:http";

/**
 * Starts listening.
 * @throws Error of the socket if it cannot listen at the address.
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
