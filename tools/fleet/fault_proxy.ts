/**
 * A TCP proxy on loopback that injects network faults: delay, silence in one
 * or both directions, closed connections, and partitions.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { portOf } from "../../stand_ins/http.ts";

/** Whether the bytes of one direction are forwarded or discarded. */
export type ForwardingMode = "open" | "frozen";

/** `up`: from the client to the target; `down`: back to the client. */
export type Direction = "up" | "down";

/** How many bytes from the start are searched for the client's name. */
const IDENTIFYING_BYTES = 1_024;

interface ProxiedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  /** First bytes from the client; its handshake names it in clear text. */
  firstBytes: Buffer;
  /** Stays so after `heal`: bytes were discarded, so the stream is broken. */
  readonly frozen: Set<Direction>;
}

/** Forwards TCP connections to one port of loopback. */
export class FaultProxy {
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  #partitioned = false;
  readonly #refusedClients = new Set<string>();
  #delayMs = 0;

  private constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((clientSocket) => this.#accept(clientSocket));
  }

  /** Starts a proxy for `targetPort`; `port` 0 takes a free one. */
  static async start(targetPort: number, port = 0): Promise<FaultProxy> {
    const proxy = new FaultProxy(targetPort);
    await new Promise<void>((resolve, reject) => {
      proxy.#server.once("error", reject);
      proxy.#server.listen(port, "127.0.0.1", () => resolve());
    });
    return proxy;
  }

  /** Port that the proxy listens on. */
  get port(): number {
    return portOf(this.#server as never);
  }

  /** Delays all bytes, each way, from now on. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Discards all further bytes of the open connections, and their end, without
   * closing them; new connections work. `client` (instance name or role,
   * empty for all) limits this to the connections of matching processes.
   */
  freeze(directions: readonly Direction[] = ["up", "down"], client = ""): void {
    for (const connection of this.#connections) {
      if (!isFrom(connection, client)) continue;
      for (const direction of directions) connection.frozen.add(direction);
    }
  }

  /** Closes the connections that are open. */
  cut(): void {
    for (const connection of this.#connections) destroy(connection);
  }

  /** Closes all connections and refuses new ones until `heal`. */
  partition(): void {
    this.#partitioned = true;
    this.cut();
  }

  /** Like `partition`, for the connections of one client only. */
  partitionFrom(client: string): void {
    this.#refusedClients.add(client);
    for (const connection of this.#connections)
      this.#destroyIfRefused(connection);
  }

  /** Ends all partitions: new connections are accepted again. */
  heal(): void {
    this.#partitioned = false;
    this.#refusedClients.clear();
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.cut();
    this.#server.close();
  }

  #accept(clientSocket: Socket): void {
    if (this.#partitioned) {
      clientSocket.destroy();
      return;
    }
    const targetSocket = connect(this.#targetPort, "127.0.0.1");
    const firstBytes = Buffer.alloc(0);
    const connection: ProxiedConnection = {
      clientSocket,
      targetSocket,
      firstBytes,
      frozen: new Set(),
    };
    this.#connections.add(connection);
    clientSocket.on("data", (bytes) => this.#identify(connection, bytes));
    this.#forward(connection, "up", { from: clientSocket, to: targetSocket });
    this.#forward(connection, "down", { from: targetSocket, to: clientSocket });
  }

  #identify(connection: ProxiedConnection, bytes: Buffer): void {
    if (connection.firstBytes.length >= IDENTIFYING_BYTES) return;
    connection.firstBytes = Buffer.concat([
      connection.firstBytes,
      bytes,
    ]).subarray(0, IDENTIFYING_BYTES);
    this.#destroyIfRefused(connection);
  }

  #destroyIfRefused(connection: ProxiedConnection): void {
    for (const client of this.#refusedClients) {
      if (isFrom(connection, client)) destroy(connection);
    }
  }

  #forward(
    connection: ProxiedConnection,
    direction: Direction,
    { from, to }: { readonly from: Socket; readonly to: Socket },
  ): void {
    from.setNoDelay(true);
    from.on("data", (bytes) => {
      if (connection.frozen.has(direction)) return;
      if (this.#delayMs === 0) to.write(bytes);
      else setTimeout(() => to.write(bytes), this.#delayMs);
    });
    // A frozen direction hides the close of the connection too.
    const onClosed = () => {
      if (connection.frozen.has(direction)) return;
      setTimeout(() => this.#closeConnection(connection), this.#delayMs);
    };
    from.on("close", onClosed);
    from.on("error", () => undefined);
  }

  #closeConnection(connection: ProxiedConnection): void {
    this.#connections.delete(connection);
    destroy(connection);
  }
}

function isFrom({ firstBytes }: ProxiedConnection, client: string): boolean {
  return firstBytes.includes(client);
}

function destroy({ clientSocket, targetSocket }: ProxiedConnection): void {
  clientSocket.destroy();
  targetSocket.destroy();
}
