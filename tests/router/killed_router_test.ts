/**
 * A router that is killed while it forwards a stream to a caller that knows no
 * chunks: the kernel would close the connection as if the stream were whole.
 */

import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { errorAtEnd } from "../../src/common/connection_end.ts";
import { deskDeployment } from "../../tools/fleet/deployments.ts";
import { Fleet } from "../../tools/fleet/fleet.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 10_000;
const KEY = "key-of-desk-01";
const MAX_TOKENS = 4_000;

let fleet: Fleet;

before(async () => {
  const base = deskDeployment();
  const services = base.services.map((one) => ({ ...one, replicas: 1 }));
  fleet = await Fleet.start({ ...base, routers: 1, services });
});

after(async () => {
  await fleet.stop();
});

test("a stream to an HTTP/1.0 caller is reset when its router is killed", async () => {
  const [router] = fleet.routers;
  assert.ok(router);
  const body = JSON.stringify({
    ...{ model: "desk-model", stream: true, max_tokens: MAX_TOKENS },
    messages: [{ role: "user", content: "Hello" }],
  });
  const lines = [
    ...["POST /v1/chat/completions HTTP/1.0", `Authorization: Bearer ${KEY}`],
    ...[`Content-Length: ${body.length}`, "", body],
  ];
  const socket = connect(Number(new URL(router.url).port), "127.0.0.1");
  socket.write(lines.join("\r\n"));
  let text = "";
  let end = "open";
  socket.on("data", (bytes) => {
    text += bytes.toString("latin1");
  });
  socket.prependListener("end", () => {
    end = errorAtEnd(socket) === null ? "closed" : "reset";
  });
  socket.on("error", () => {
    end = "reset";
  });
  await until("the stream begins", TIMEOUT_MS, {
    holds: () => text.split("data: ").length > 2,
  });
  assert.equal(end, "open");
  assert.doesNotMatch(text, /content-length|transfer-encoding/i);
  await router.child.kill();
  await until("the connection ends", TIMEOUT_MS, {
    holds: () => end !== "open",
  });
  assert.equal(end, "reset");
});
