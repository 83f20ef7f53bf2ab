/** A loopback link that can delay, freeze one way or both, and cut. */

import { connect, createServer, type Server, type Socket } from "node:net";
import { portOf } from "../../stand_ins/http.ts";

/** What happens to bytes of one direction. */
export type LinkMode = "open" | "frozen";

/** Directions seen from the end that connects. */
export type Direction = "up" | "down";

/** Longest beginning of a connection in which its dialer is looked for. */
const HELLO_BYTES = 1_024;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** First bytes from the end that connects: they name it in clear. */
  hello: Buffer;
  /** Frozen pairs stay so when the link opens again: state was lost. */
  readonly frozen: Set<Direction>;
}

/** Forwards TCP connections to one port. */
export class Link {
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #refusing = false;
  readonly #refusedDialers = new Set<string>();
  #delayMs = 0;

  private constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Starts a link in front of a port; port 0 takes a free one. */
  static async start(targetPort: number, port = 0): Promise<Link> {
    const link = new Link(targetPort);
    await new Promise<void>((resolve, reject) => {
      link.#server.once("error", reject);
      link.#server.listen(port, "127.0.0.1", () => resolve());
    });
    return link;
  }

  /** Port that peers connect to. */
  get port(): number {
    return portOf(this.#server as never);
  }

  /** Delays every byte. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Silences the connections that are open; new ones work. A dialer (name or
   * role of a process of the product) restricts it to that one's connections.
   */
  freeze(directions: readonly Direction[] = ["up", "down"], dialer = ""): void {
    for (const pair of this.#pairs) {
      if (!isFrom(pair, dialer)) continue;
      for (const direction of directions) pair.frozen.add(direction);
    }
  }

  /** Closes the connections that are open. */
  cut(): void {
    for (const pair of this.#pairs) drop(pair);
  }

  /** Cuts, and refuses new connections until `heal`. */
  partition(): void {
    this.#refusing = true;
    this.cut();
  }

  /** Partitions from one dialer only. */
  partitionFrom(dialer: string): void {
    this.#refusedDialers.add(dialer);
    for (const pair of this.#pairs) this.#refuse(pair);
  }

  /** Accepts connections again. */
  heal(): void {
    this.#refusing = false;
    this.#refusedDialers.clear();
  }

  /** Closes the link. */
  close(): void {
    this.cut();
    this.#server.close();
  }

  #accept(near: Socket): void {
    if (this.#refusing) {
      near.destroy();
      return;
    }
    const far = connect(this.#targetPort, "127.0.0.1");
    const hello = Buffer.alloc(0);
    const pair: Pair = { near, far, hello, frozen: new Set() };
    this.#pairs.add(pair);
    near.on("data", (bytes) => this.#identify(pair, bytes));
    this.#forward(pair, "up", { from: near, to: far });
    this.#forward(pair, "down", { from: far, to: near });
  }

  #identify(pair: Pair, bytes: Buffer): void {
    if (pair.hello.length >= HELLO_BYTES) return;
    pair.hello = Buffer.concat([pair.hello, bytes]).subarray(0, HELLO_BYTES);
    this.#refuse(pair);
  }

  #refuse(pair: Pair): void {
    for (const dialer of this.#refusedDialers) {
      if (isFrom(pair, dialer)) drop(pair);
    }
  }

  #forward(
    pair: Pair,
    direction: Direction,
    { from, to }: { readonly from: Socket; readonly to: Socket },
  ): void {
    from.setNoDelay(true);
    from.on("data", (bytes) => {
      if (pair.frozen.has(direction)) return;
      if (this.#delayMs === 0) to.write(bytes);
      else setTimeout(() => to.write(bytes), this.#delayMs);
    });
    // A frozen pair swallows the end of a connection as well.
    const ended = () => {
      if (pair.frozen.has(direction)) return;
      setTimeout(() => this.#end(pair), this.#delayMs);
    };
    from.on("close", ended);
    from.on("error", () => undefined);
  }

  #end(pair: Pair): void {
    this.#pairs.delete(pair);
    drop(pair);
  }
}

function isFrom({ hello }: Pair, dialer: string): boolean {
  return hello.includes(dialer);
}

function drop({ near, far }: Pair): void {
  near.destroy();
  far.destroy();
}
