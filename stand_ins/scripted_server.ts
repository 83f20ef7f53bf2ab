/** A backend server whose answers a test's script writes byte by byte. */

import type { AddressInfo } from "node:net";
import { createServer, type Server, type Socket } from "node:net";

/** A received request and the socket to answer it on. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  /** Names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly socket: Socket;
}

/** Handles a request by writing any bytes to its socket. */
export type Script = (request: ReceivedRequest) => void;

/**
 * What a server reads before it calls its script: whole requests, or the first
 * head on each connection and nothing after it.
 */
export type Reading = "requests" | "one-head";

const HEAD_END = "\r\n\r\n";

/** Records the requests and calls the script for each. */
export class ScriptedServer {
  readonly requests: ReceivedRequest[] = [];
  script: Script;
  /** Connections accepted so far. */
  connections = 0;
  /** Connections that have closed, by either end. */
  closed = 0;
  readonly #server: Server;
  readonly #reading: Reading;
  readonly #sockets = new Set<Socket>();

  constructor(script: Script, reading: Reading = "requests") {
    this.script = script;
    this.#reading = reading;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** Port on loopback. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Whether it listens: it has neither crashed nor not started yet. */
  get isListening(): boolean {
    return this.#server.listening;
  }

  /** Listens on a free port of loopback. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => resolve());
    });
  }

  /** Simulates a crash: stops listening and resets every connection. */
  crash(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      // Resetting a socket that is shutting down would never close its handle.
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  #serve(socket: Socket): void {
    this.connections += 1;
    this.#sockets.add(socket);
    let rest = "";
    socket.on("data", (chunk) => {
      rest += chunk.toString("latin1");
      for (;;) {
        const consumedLength = this.#parseRequest(rest, socket);
        if (consumedLength === null) return;
        rest = rest.slice(consumedLength);
      }
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.closed += 1;
      this.#sockets.delete(socket);
    });
  }

  /** Handles a complete request and returns its length; null if incomplete. */
  #parseRequest(text: string, socket: Socket): number | null {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd === -1) return null;
    const [first = "", ...lines] = text.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(
      lines.map((line) => {
        const colon = line.indexOf(":");
        const name = line.slice(0, colon).toLowerCase();
        return [name, line.slice(colon + 1).trim()];
      }),
    );
    const bodyStart = headEnd + HEAD_END.length;
    const readsHeadOnly = this.#reading === "one-head";
    if (readsHeadOnly) socket.pause();
    const bodyLength = Number(headers["content-length"] ?? 0);
    const end = readsHeadOnly ? text.length : bodyStart + bodyLength;
    if (text.length < end) return null;
    const [method = "", path = ""] = first.split(" ");
    const body = text.slice(bodyStart, end);
    const request = { method, path, headers, body, socket };
    this.requests.push(request);
    this.script(request);
    return end;
  }
}
