/** Helpers for the stand-ins' HTTP servers. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Handles one request; a rejection becomes status 500. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void> | void;

/** Starts a server on loopback; port 0 takes a free port. */
export async function serve(handler: Handler, port: number): Promise<Server> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://127.0.0.1");
    Promise.resolve(handler(request, response, url)).catch((error) => {
      if (!response.headersSent) response.writeHead(500);
      response.end(String(error));
    });
  });
  server.keepAliveTimeout = 600_000;
  server.requestTimeout = 0;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve());
  });
  return server;
}

/** Returns the port that a server listens on. */
export function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Reads a request's whole body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for await (const piece of request) pieces.push(piece as Buffer);
  return Buffer.concat(pieces);
}

/** Sends a value as JSON and ends the response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
