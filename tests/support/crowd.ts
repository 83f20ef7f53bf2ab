/** Many connections that send bytes of their own and then stay open. */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** What each connection of a crowd does. */
export interface CrowdOptions {
  readonly connections: number;
  /** Pieces that each connection sends, one after the other. */
  readonly pieces: (index: number) => Iterable<string | Buffer>;
  /** Whether what is received is read; true by default. */
  readonly reads?: "reads" | "reads-nothing";
}

/** Time without progress after which a peer that doesn't read is left alone. */
const STUCK_MS = 15_000;

/** Connections to one port of loopback. Close it at the test's end. */
export class Crowd {
  readonly #sockets: Socket[] = [];

  /** Opens all connections and sends what the peer takes of their pieces. */
  static async open(port: number, options: CrowdOptions): Promise<Crowd> {
    const crowd = new Crowd();
    const sends = Array.from({ length: options.connections }, (_, index) =>
      crowd.#open(port, index, options),
    );
    await Promise.all(sends);
    return crowd;
  }

  /** Resets all connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #open(port: number, index: number, options: CrowdOptions) {
    const socket = connect(port, "127.0.0.1");
    this.#sockets.push(socket);
    socket.on("error", () => undefined);
    if (options.reads === "reads-nothing") socket.pause();
    else socket.resume();
    // What is written before would wait, and no drain would be reported.
    await once(socket, "connect").catch(() => undefined);
    for (const piece of options.pieces(index)) {
      if (socket.destroyed || !socket.writable) return;
      if (!socket.write(piece) && !(await this.#drains(socket))) return;
    }
    if (socket.writableLength > 0) await this.#drains(socket);
  }

  /** Resolves once the peer has read; false if it closes or is stuck. */
  async #drains(socket: Socket): Promise<boolean> {
    const drained = once(socket, "drain").then(() => true);
    const closed = once(socket, "close").then(() => false);
    const outcome = Promise.race([drained, closed]).catch(() => false);
    for (;;) {
      const before = socket.writableLength;
      const result = await Promise.race([outcome, delay(STUCK_MS, null)]);
      if (result !== null) return result;
      if (socket.writableLength === before) return false;
    }
  }
}
