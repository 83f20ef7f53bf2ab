/** Starts the HTTP servers of a Moleculer broker. */

import { once } from "node:events";
import type { Server } from "node:http";
import type { ServiceBroker } from "moleculer";

/**
 * Starts a broker. Rejects if the address of one of its HTTP servers can't be
 * bound: the gateway only logs that error, and `start` would never return.
 */
export async function startBroker(broker: ServiceBroker): Promise<void> {
  const started = new AbortController();
  const { signal } = started;
  const failures = broker.services
    .map((service) => (service as { readonly server?: Server }).server)
    .filter((server) => server !== undefined)
    .map(async (server) => {
      const [error] = await once(server, "error", { signal });
      throw error;
    });
  try {
    await Promise.race([broker.start(), ...failures]);
  } finally {
    started.abort();
    await Promise.allSettled(failures);
  }
}
