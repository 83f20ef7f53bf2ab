/** A server that answers a request at its head, before it has read its body. */

import { type AddressInfo, createServer, type Socket } from "node:net";

const HEAD_END = "\r\n\r\n";

/** Answers the request with an id; the rest of its body isn't read. */
export type EarlyScript = (socket: Socket, id: string) => void;

/** Close it at the test's end. */
export class EarlyServer {
  readonly #server = createServer((socket) => this.#serve(socket));
  readonly #script: EarlyScript;
  readonly #sockets: Socket[] = [];

  constructor(script: EarlyScript) {
    this.#script = script;
  }

  /** Port on loopback. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Listens on a free port of loopback. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#sockets.push(socket);
    socket.on("error", () => undefined);
    let head = "";
    const read = (bytes: Buffer) => {
      head += bytes.toString("latin1");
      if (!head.includes(HEAD_END)) return;
      socket.off("data", read);
      socket.pause();
      const [, id = ""] = /^x-attempt-id: (\S+)/im.exec(head) ?? [];
      this.#script(socket, id);
    };
    socket.on("data", read);
  }
}
