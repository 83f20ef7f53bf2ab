/**
 * Starts the stand-in platform: an object API and an instance list.
 *
 * Control endpoints: `POST /instances` and `DELETE /instances/NAME` change the
 * list, which the real platform does by itself; `POST /faults` sets the fault
 * switches; `/calls` answers the number of object API calls.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { readBody, sendJson, serve } from "../http.ts";
import { noFaults } from "./faults.ts";
import { InstanceList } from "./instance_list.ts";
import { ObjectApi } from "./object_api.ts";

const { values } = parseArgs({
  options: { port: { type: "string", default: "0" } },
});
const faults = noFaults();
const objects = new ObjectApi(faults);
const instances = new InstanceList();
let callsThisSecond = 0;
setInterval(() => {
  callsThisSecond = 0;
}, 1_000);

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
): Promise<void> {
  if (url.pathname.startsWith("/v1/")) {
    await handleApiCall(request, response, url);
  } else if (url.pathname === "/faults") {
    if (request.method === "POST") Object.assign(faults, await json(request));
    sendJson(response, 200, faults);
  } else if (url.pathname === "/instances") {
    instances.put(await json(request));
    sendJson(response, 200, {});
  } else if (url.pathname.startsWith("/instances/")) {
    instances.remove(url.pathname.slice("/instances/".length));
    sendJson(response, 200, {});
  } else if (url.pathname === "/calls") {
    sendJson(response, 200, { objects: objects.calls });
  } else {
    response.writeHead(404).end();
  }
}

async function handleApiCall(
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
): Promise<void> {
  callsThisSecond += 1;
  const limit = faults.callsPerSecond;
  if (faults.silent) return;
  if (faults.outage) {
    response.writeHead(503, { "retry-after": "1" }).end();
    return;
  }
  if (limit > 0 && callsThisSecond > limit) {
    response.writeHead(429, { "retry-after": "1" }).end();
    return;
  }
  if (faults.delayMs > 0) await delay(faults.delayMs);
  if (url.pathname === "/v1/instances") {
    sendList(request, response);
  } else await objects.handle(request, response, url);
}

function sendList(request: IncomingMessage, response: ServerResponse): void {
  const { atMs, list } = instances.asOf(faults.listLagMs);
  const tag = `"${atMs}"`;
  if (request.headers["if-none-match"] === tag) {
    response.writeHead(304, { etag: tag }).end();
    return;
  }
  response.setHeader("etag", tag);
  sendJson(response, 200, { instances: list });
}

async function json(request: IncomingMessage): Promise<never> {
  return JSON.parse((await readBody(request)).toString("utf8")) as never;
}

await serve(handle, Number(values.port));
