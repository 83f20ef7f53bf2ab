/** Free ports on loopback. */

import { createServer } from "node:net";

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS_PER_PROCESS = 100;
/** Processes that start fleets at once take ports of their own. */
const BLOCKS = 200;

const PORTS = PORTS_PER_PROCESS * BLOCKS;

const block = process.pid % BLOCKS;
let taken = 0;

/** Returns ports that are free, each one different. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > PORTS) {
      throw new Error(`Found ${ports.length} of ${count} free ports`);
    }
    const port = FIRST_PORT + ((block * PORTS_PER_PROCESS + taken) % PORTS);
    taken += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
