/** How one send to a backend server ends. */

import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { headerDialect } from "../../platform/header_dialect.ts";
import { HeldBytes } from "../../src/common/held_bytes.ts";
import { BackendConnection } from "../../src/direct/backend_connection.ts";
import { CallerResponse } from "../../src/direct/caller_response.ts";
import { Relay } from "../../src/direct/relay.ts";
import { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { respondCompletely } from "./fixture.ts";

const MEMORY = { limitBytes: 1_000_000 };
const REQUEST = {
  ...{ method: "GET", path: "/", body: Buffer.alloc(0) },
  headers: ["X-Attempt-Id", "id-1"],
};

function createRelay(connection: BackendConnection): Relay {
  const request = new IncomingMessage(new Socket());
  const response = new CallerResponse(request, new ServerResponse(request), {
    idleTimeoutMs: () => null,
  });
  return new Relay(response, connection, {
    ...{ requestId: "id-1", dialect: headerDialect, progress: null },
    ...{ server: "s1", held: new HeldBytes(createManualClock(), MEMORY) },
    ...{ withholdsFailures: true, streaming: false, silenceTimeoutMs: null },
    ...{ onSilence: () => {}, onResumed: () => {}, onClaim: () => {} },
    ...{ onHead: () => {}, onData: () => {} },
  });
}

test("a send that is cancelled before it has left isn't a broken response", async () => {
  const server = new ScriptedServer(respondCompletely);
  await server.listen();
  const address = createServer({ host: "127.0.0.1", port: server.port });
  const opened = await BackendConnection.open(address);
  const connection = opened._unsafeUnwrap();
  const cancel = new AbortController();
  const result = createRelay(connection).run(REQUEST, cancel.signal);
  cancel.abort();
  const settled = await result;
  server.crash();
  assert.deepEqual(settled, { type: "aborted" });
});
