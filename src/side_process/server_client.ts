/** An HTTP client that tells a response that was reset from a whole one. */

import { Socket } from "node:net";
import {
  type buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
  Pool,
} from "undici";
import { type ConnectionEnd, watchEnd } from "../common/connection_end.ts";
import { pauseAtSocket, ReadPause } from "../common/read_pause.ts";

/** Options of a pool of clients. */
export interface ServerPoolOptions {
  /** Most connections that are open at once. */
  readonly connections: number;
  readonly connect: buildConnector.connector;
}

/**
 * Returns a pool of connections to a server, each for one request at a time. A
 * response without a length that is reset fails; undici takes some resets for
 * its end.
 */
export function createServerPool(
  url: string,
  { connections, connect }: ServerPoolOptions,
): Pool {
  const timeouts = { headersTimeout: 0, bodyTimeout: 0 };
  return new Pool(url, {
    ...{ connections, pipelining: 1, ...timeouts, connect },
    factory: (origin, options) => new ServerClient(origin, options, connect),
  });
}

/** The connection that a client has now. */
interface CurrentConnection {
  end: ConnectionEnd;
  readPause: ReadPause;
}

class ServerClient extends Client {
  readonly #connection: CurrentConnection;

  constructor(
    origin: URL,
    options: Client.Options,
    connect: buildConnector.connector,
  ) {
    const connection: CurrentConnection = {
      end: { error: null },
      readPause: new ReadPause(new Socket()),
    };
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          connection.end = watchEnd(socket);
          connection.readPause = new ReadPause(socket);
          callback(null, socket);
        });
      },
    });
    this.#connection = connection;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, checkEnd(handler, this.#connection));
  }
}

/** Returns a handler that fails where a connection ends by an error. */
function checkEnd(
  inner: Dispatcher.DispatchHandler,
  connection: CurrentConnection,
): Dispatcher.DispatchHandler {
  // A pool passes handlers on in undici's older form; this has the newer one.
  const handler = pauseAtSocket(
    new DecoratorHandler(inner),
    () => connection.readPause,
  );
  return {
    ...handler,
    onResponseEnd: (controller, trailers) => {
      const { error } = connection.end;
      if (error === null) handler.onResponseEnd?.(controller, trailers);
      else handler.onResponseError?.(controller, error);
    },
  };
}
