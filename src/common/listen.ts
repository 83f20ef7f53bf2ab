/** Listening on a socket, as a promise. */

import type { ListenOptions, Server } from "node:net";

/** Starts listening. Rejects when the address can't be bound. */
export async function listen(
  server: Server,
  options: ListenOptions,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options, () => resolve());
  });
}
