/** Finds free ports on loopback. */

import { createServer } from "node:net";

/** Below the ephemeral ports, which outgoing connections may occupy. */
const FIRST_PORT = 12_000;
const PORTS_PER_PROCESS = 100;
/** Processes that start fleets at the same time use different blocks. */
const PORT_BLOCKS = 200;

const PORT_COUNT = PORTS_PER_PROCESS * PORT_BLOCKS;

const block = process.pid % PORT_BLOCKS;
let nextOffset = 0;

/** Returns different free ports; rejects once all ports were tried. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count; attempts += 1) {
    if (attempts > PORT_COUNT) {
      throw new Error(`Found only ${ports.length} of ${count} free ports`);
    }
    const port =
      FIRST_PORT + ((block * PORTS_PER_PROCESS + nextOffset) % PORT_COUNT);
    nextOffset += 1;
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
