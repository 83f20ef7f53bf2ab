/**
 * Starts a stand-in plain service: `main.js --port N --work-ms N --log FILE`.
 *
 * Logs each run and answers after `workMs` with the method, the path and the
 * hash of the body; `bytes`, `workMs` and `status` of the query change that.
 */

import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { readBody, sendJson, serve } from "../http.ts";
import { RunLog } from "../run_log.ts";
import { writeLongAnswer } from "./long_answer.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    "work-ms": { type: "string", default: "10" },
    log: { type: "string", default: "" },
  },
});
const workMs = Number(values["work-ms"]);
const incarnation = randomUUID();
const log = new RunLog(values.log);
const progress = { writtenBytes: 0 };

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
): Promise<void> {
  response.setHeader("x-incarnation", incarnation);
  if (url.pathname === "/health") {
    sendJson(response, 200, {});
  } else if (url.pathname === "/executions") {
    sendJson(response, 200, log.executions);
  } else if (url.pathname === "/progress") {
    sendJson(response, 200, progress);
  } else {
    const body = await readBody(request);
    const execution = log.start(request, body);
    const sizeBytes = Number(url.searchParams.get("bytes") ?? 0);
    if (sizeBytes > 0) {
      await writeLongAnswer(response, sizeBytes, progress);
      log.finish(execution);
      return;
    }
    await delay(Number(url.searchParams.get("workMs") ?? workMs));
    log.finish(execution);
    const status = Number(url.searchParams.get("status") ?? 200);
    const bodyHash = createHash("sha256").update(body).digest("hex");
    const { method } = request;
    sendJson(response, status, { method, path: url.pathname, bodyHash });
  }
}

await serve(handle, Number(values.port));
