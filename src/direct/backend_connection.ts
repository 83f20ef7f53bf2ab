/** One connection to a backend server, which carries one request at a time. */

import { err, ok, type Result } from "neverthrow";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { type ConnectionEnd, watchEnd } from "../common/connection_end.ts";
import { pauseAtSocket, ReadPause } from "../common/read_pause.ts";
import type { BackendServer } from "../directory/mod.ts";
import { BackendSocket } from "./backend_socket.ts";

/**
 * Timeout of a connection attempt. Servers are a few milliseconds away, and a
 * lost SYN is retransmitted only after a second.
 */
const CONNECT_TIMEOUT_MS = 500;
/** Errors by which the host itself replies; a cut network gives others. */
const REFUSAL_CODES = new Set(["ECONNREFUSED", "ECONNRESET"]);
/** Idle time after which TCP keep-alive probes start. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** Why no connection could be opened. */
export interface ConnectionFailure {
  /** `refused`: nobody listens there; `silent`: no reply, whoever listens. */
  readonly kind: "refused" | "silent";
  readonly reason: string;
}

/** A request as it is sent to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Sends requests one after the other over one socket; doesn't reconnect. */
export class BackendConnection {
  readonly #client: Client;
  readonly #socket: BackendSocket;
  readonly #end: ConnectionEnd;
  readonly #readPause: ReadPause;
  #closed = false;
  #sentRequests = 0;
  #isRetired = false;

  private constructor(origin: string, socket: BackendSocket) {
    this.#socket = socket;
    this.#end = watchEnd(socket);
    this.#readPause = new ReadPause(socket);
    let isSocketTaken = false;
    const provideSocket = (callback: buildConnector.Callback) => {
      if (isSocketTaken) callback(new Error("Connection has ended"), null);
      else callback(null, socket);
      isSocketTaken = true;
    };
    this.#client = new Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        // The client ignores a socket that it gets before `connect` returns.
        process.nextTick(provideSocket, callback);
      },
    });
    this.#client.on("disconnect", () => {
      this.#closed = true;
    });
  }

  /** Opens a connection; returns the reason if that fails. */
  static open({
    host,
    port,
  }: BackendServer): Promise<Result<BackendConnection, ConnectionFailure>> {
    return new Promise((resolve) => {
      const socket = new BackendSocket();
      socket.setNoDelay(true);
      socket.connect({ host, port });
      const timer = setTimeout(() => {
        socket.destroy();
        const reason = `No connection in ${CONNECT_TIMEOUT_MS} ms`;
        resolve(err({ kind: "silent", reason }));
      }, CONNECT_TIMEOUT_MS);
      const onError = (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        const refused = REFUSAL_CODES.has(error.code ?? "");
        const kind = refused ? "refused" : "silent";
        resolve(err({ kind, reason: error.message }));
      };
      socket.once("error", onError);
      socket.once("connect", () => {
        clearTimeout(timer);
        socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
        const origin = `http://${host}:${port}`;
        const connection = new BackendConnection(origin, socket);
        socket.off("error", onError);
        resolve(ok(connection));
      });
    });
  }

  /** Whether it can carry another request. */
  get usable(): boolean {
    const isOpen = !this.#closed && !this.#socket.destroyed;
    // A server may answer before it has read the body, whose memory is freed
    // with its request.
    const isSent = this.#socket.writableLength === 0;
    return isOpen && isSent && this.#socket.writable && !this.#isRetired;
  }

  /** Whether it has carried no request before the one that was sent last. */
  get isFirstUse(): boolean {
    return this.#sentRequests <= 1;
  }

  /** The socket's error, a reset too; null if there was none. */
  get error(): Error | null {
    return this.#end.error;
  }

  /** Makes it carry no further request. */
  retire(): void {
    this.#isRetired = true;
  }

  /** Sends a request; the handler receives the response. */
  send(request: BackendRequest, handler: Dispatcher.DispatchHandler): void {
    const { method, path, headers, body } = request;
    const pausable = pauseAtSocket(handler, () => this.#readPause);
    this.#sentRequests += 1;
    this.#socket.restartOverhead();
    this.#client.dispatch(
      {
        method: method as Dispatcher.HttpMethod,
        path,
        headers: [...headers],
        body: body.length === 0 ? null : body,
      },
      {
        ...pausable,
        onResponseData: (controller, chunk) => {
          this.#socket.restartOverhead();
          pausable.onResponseData?.(controller, chunk);
        },
      },
    );
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.#closed = true;
    this.#client.destroy().catch(() => undefined);
    this.#socket.destroy();
  }
}
