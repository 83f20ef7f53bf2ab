/** Endpoints for operators answer while unknown peers hold connections open. */

import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { request } from "undici";
import { capConnections } from "../../src/common/connection_cap.ts";
import { until } from "../../tools/fleet/until.ts";

const CROWD = 80;
const MOST_OPEN = 64;
const TIMEOUT_MS = 10_000;

test("an endpoint closes the oldest connections and answers a new one", async () => {
  const server = createServer((_request, response) => response.end("up"));
  capConnections(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const crowd = Array.from({ length: CROWD }, () => connect(port, "127.0.0.1"));
  const isOpen = crowd.map(() => true);
  for (const [index, socket] of crowd.entries()) {
    socket.on("error", () => {});
    socket.once("close", () => {
      isOpen[index] = false;
    });
    socket.write("GET / HTTP/1.1\r\nHost: a\r\nX-Unfinished: ");
  }
  const openCount = () => isOpen.filter((one) => one).length;
  await until("the oldest connections are closed", TIMEOUT_MS, {
    holds: () => openCount() <= MOST_OPEN,
  });
  const response = await request(`http://127.0.0.1:${port}/`);
  assert.equal(response.statusCode, 200);
  await response.body.dump();
  for (const socket of crowd) socket.destroy();
  server.close();
  server.closeAllConnections();
});
