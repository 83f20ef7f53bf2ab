/** A server that stops taking requests while a connection to it is opened. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionPool } from "../../src/direct/connection_pool.ts";
import { ServerSend } from "../../src/direct/server_send.ts";
import type { Outcome, Placement } from "../../src/scheduling/mod.ts";
import { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { createServer } from "../support/servers.ts";
import { respondCompletely } from "./fixture.ts";

test("a permitted request isn't sent once its server takes no more", async () => {
  const server = new ScriptedServer(respondCompletely);
  await server.listen();
  const pool = new ConnectionPool();
  const released: Outcome[] = [];
  let isOpen = true;
  const placement: Placement = {
    ...{ type: "placed", uncachedTokens: 0, source: null },
    server: createServer({ host: "127.0.0.1", port: server.port }),
    isOpen: () => isOpen,
    noteMissedPace: () => {},
    noteFirstToken: () => {},
    noteRequestLimit: () => false,
    release: (outcome) => released.push(outcome),
  };
  const send = new ServerSend({
    ...{ pool, placement, isNamed: true, isCancelled: () => false },
    cancelSignal: new AbortController().signal,
    request: () => assert.fail("The request is sent"),
    createRelay: () => assert.fail("A response is awaited"),
  });
  isOpen = false;
  assert.deepEqual(await send.ended, { type: "withdrawn" });
  assert.deepEqual(released, ["neutral"]);
  pool.close();
  server.crash();
});
