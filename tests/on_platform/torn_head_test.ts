/** A server that stops in the middle of the head of its response. */

import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { serverHeaders } from "../direct/fixture.ts";
import { callRaw } from "../direct/raw_caller.ts";
import { ProgramFleet, type RunningRouter } from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

/** Where the head of a response breaks off. */
const CUTS: Record<string, (head: string) => string> = {
  "within the status line": () => "HTTP/1.1 20",
  "after the status line": () => "HTTP/1.1 200 OK\r\n",
  "within a header's name": (head) => head.slice(0, head.indexOf("-Seal")),
  "within a header's value": (head) => head.slice(0, head.indexOf("seal\r\n")),
  "within the length": (head) => head.slice(0, head.indexOf("0\r\n\r\n")),
  "after a header, before the others": (head) =>
    head.slice(0, head.indexOf("X-Response-Seal")),
  "before the empty line": (head) => head.slice(0, -2),
  "within the empty line": (head) => head.slice(0, -1),
};

const FRAMINGS: Record<string, string> = {
  "with a length": "Content-Length: 40\r\n",
  "with an empty body": "Content-Length: 10\r\n",
  chunked: "Transfer-Encoding: chunked\r\nX-Last: 0\r\n",
  "ended by its connection": "X-Last: 0\r\n",
};

const KINDS = ["idempotent", "non_idempotent", "streaming"];

let fleet: ProgramFleet;
let router: RunningRouter;
/** What the server writes before it closes the connection. */
let torn: (request: ReceivedRequest) => string;
let ending: "closes" | "resets" = "closes";

before(async () => {
  const common = { service: "n", authExempt: true, maxAttempts: 2 };
  const routes = KINDS.map((kind) =>
    createWireRoute({
      ...{ ...common, kind, name: kind, host: `${kind}.example` },
      pathPrefix: "/lookup/",
    }),
  );
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({ routes }),
    bounds: { retrySlack: 1_000 },
  });
  for (let count = 0; count < 2; count += 1) {
    await fleet.addServer((request) => {
      request.socket.write(torn(request), "latin1", () => {
        if (ending === "closes") request.socket.end();
        else request.socket.resetAndDestroy();
      });
    });
  }
  router = await fleet.startRouter();
});

after(() => fleet.close());

for (const [place, cut] of Object.entries(CUTS)) {
  test(`a head that breaks off ${place} is no response`, async () => {
    for (const [framing, header] of Object.entries(FRAMINGS)) {
      torn = (request) =>
        cut(`HTTP/1.1 200 OK\r\n${serverHeaders(request)}${header}\r\n`);
      for (const kind of KINDS) {
        for (ending of ["closes", "resets"] as const) {
          const id = `${place} ${framing} ${kind} ${ending}`.replace(/\W/g, "");
          const headers = {
            ...{ host: `${kind}.example`, connection: "close" },
            ...{ "x-attempt-id": id, "x-deadline-ms": "2000" },
          };
          const { text } = await callRaw(router.port, { headers });
          // It may have run, so nothing is promised either.
          assert.match(text, /^HTTP\/1\.1 50[24] /, `${framing}, ${kind}`);
        }
      }
    }
  });
}
