/** Free ports on loopback. */

import { createServer, type Server } from "node:net";
import { portOf } from "../../stand_ins/http.ts";

/** Returns ports that were free a moment ago, each one different. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => portOf(server as never));
  await Promise.all(servers.map(close));
  return ports;
}

async function listen(): Promise<Server> {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve());
  });
  return server;
}

async function close(server: Server): Promise<void> {
  await new Promise((resolve) => server.close(resolve));
}
