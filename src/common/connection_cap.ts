/** Bounds what unknown peers can make an endpoint for operators hold. */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Connections that may be open; probes and scrapes need one or two. */
const MOST_CONNECTIONS = 64;
/** Time for a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5_000;
/**
 * Requests on one connection. Those after it are refused unread, so that a peer
 * that reads no responses can't queue more than a few.
 */
const MOST_REQUESTS = 16;

/**
 * Limits the connections of an HTTP server and what each may send. Beyond the
 * limit, the connection that was opened first is closed.
 */
export function capConnections(server: Server): void {
  const open = new Set<Socket>();
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.maxRequestsPerSocket = MOST_REQUESTS;
  server.on("connection", (socket) => {
    open.add(socket);
    socket.once("close", () => open.delete(socket));
    const [oldest] = open;
    if (open.size > MOST_CONNECTIONS) oldest?.destroy();
  });
}
