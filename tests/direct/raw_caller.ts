/** A caller that shows how its connection ends, which HTTP clients may hide. */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { errorAtEnd } from "../../src/common/connection_end.ts";

/** What a caller has received, and how its connection ended. */
export interface RawResponse {
  readonly text: string;
  /** `closed`: by FIN, which completes a response without a length. */
  readonly end: "closed" | "reset";
}

/** Sends one GET request and reads until the connection ends. */
export function callRaw(
  port: number,
  { headers = {} }: { readonly headers?: Record<string, string> } = {},
): Promise<RawResponse> {
  const lines = Object.entries({
    host: "desk.example",
    "x-attempt-id": "id",
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  const socket = connect(port, "127.0.0.1");
  socket.write(`GET /lookup/1 HTTP/1.1\r\n${lines.join("")}\r\n`);
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
    });
    // A reset that is read together with data is reported as an end.
    socket.prependListener("end", () => {
      const isReset = errorAtEnd(socket) !== null;
      resolve({ text, end: isReset ? "reset" : "closed" });
    });
    socket.on("error", () => resolve({ text, end: "reset" }));
  });
}

/** A connection whose bytes a test writes and reads as they are. */
export interface Caller {
  readonly socket: Socket;
  /** What the router has sent, and how it has closed the connection. */
  readonly seen: { text: string; end: "open" | "ended" | "reset" };
}

/**
 * Opens a connection to a router; destroy its socket at the test's end. Rejects
 * if nobody listens.
 */
export async function connectCaller(port: number): Promise<Caller> {
  const socket = connect(port, "127.0.0.1");
  const seen: Caller["seen"] = { text: "", end: "open" };
  socket.on("data", (bytes) => {
    seen.text += bytes.toString("latin1");
  });
  socket.on("end", () => {
    seen.end = "ended";
  });
  socket.on("error", () => {
    seen.end = "reset";
  });
  await once(socket, "connect");
  return { socket, seen };
}

let lastId = 0;

/** Returns the head of a request with an id of its own. */
export function requestHead(
  method: string,
  {
    lines = [],
    deadlineMs,
  }: {
    readonly lines?: readonly string[];
    readonly deadlineMs: number;
  },
): string {
  lastId += 1;
  const common = [
    `${method} /lookup/1 HTTP/1.1`,
    "Host: desk.example",
    `X-Attempt-Id: id-${lastId}`,
    `X-Deadline-Ms: ${deadlineMs}`,
  ];
  return `${[...common, ...lines].join("\r\n")}\r\n\r\n`;
}
