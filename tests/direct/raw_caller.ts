/** A caller that shows how its connection ends, which HTTP clients may hide. */

import { connect } from "node:net";

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
    socket.on("end", () => resolve({ text, end: "closed" }));
    socket.on("error", () => resolve({ text, end: "reset" }));
  });
}
