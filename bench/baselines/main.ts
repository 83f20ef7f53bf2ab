/**
 * A baseline router: serves callers as the product does, but chooses engines
 * by a simple policy.
 *
 * `main.js --port N --policy P --engines URL,URL --share N --teams JSON`
 */

import { createHash } from "node:crypto";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseArgs } from "node:util";
import { request } from "undici";
import { readBody, serve } from "../../stand_ins/http.ts";
import { EnginePool, type PooledEngine } from "./engine_pool.ts";
import type { Policy } from "./policy.ts";

/** As `maxWaitingPerRouter` in the contracts of the product's fleet. */
const MAX_WAITING_PER_TEAM = 200;

/** A request that waits for an engine with a free slot. */
interface WaitingRequest {
  readonly resume: (engine: PooledEngine) => void;
}

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    policy: { type: "string", default: "round-robin" },
    engines: { type: "string", default: "" },
    share: { type: "string", default: "1" },
    teams: { type: "string", default: "{}" },
  },
});
const weightByKey = JSON.parse(values.teams) as Record<string, number>;
const pool = new EnginePool(
  values.engines.split(","),
  values.policy as Policy,
  Number(values.share),
);
const queueByKey = new Map<string, WaitingRequest[]>();
/** Streamed events sent to each team, divided by the team's weight. */
const servedByKey = new Map<string, number>();

await serve(handle, Number(values.port));

async function handle(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming);
  const key = String(incoming.headers.authorization).slice("Bearer ".length);
  const engine = pool.pick() ?? (await waitForEngine(key));
  if (engine === null) {
    response.writeHead(429, {
      "oriole-outcome": "not-run",
      "retry-after": "1",
    });
    response.end("{}");
    return;
  }
  engine.inFlight += 1;
  try {
    await forward(engine, { body, key }, response);
  } finally {
    engine.inFlight -= 1;
    resumeNext();
  }
}

async function forward(
  engine: PooledEngine,
  { body, key }: { readonly body: Buffer; readonly key: string },
  response: ServerResponse,
): Promise<void> {
  const id = createHash("sha256").update(body).update(key).digest("hex");
  const reply = await request(`${engine.url}/v1/chat/completions`, {
    method: "POST",
    headers: { "content-type": "application/json", "x-request-id": id },
    body,
    dispatcher: pool.agent,
  });
  response.writeHead(reply.statusCode, {
    "content-type": String(reply.headers["content-type"]),
  });
  for await (const chunk of reply.body as AsyncIterable<Buffer>) {
    charge(key, chunk);
    if (!response.write(chunk)) await once(response, "drain");
  }
  response.end();
}

/**
 * Charges a team one unit per streamed event, divided by its weight. Counts
 * only what this router served: baseline routers share no state.
 */
function charge(key: string, chunk: Buffer): void {
  const cost = chunk.toString("latin1").split("data:").length - 1;
  const weight = weightByKey[key] ?? 1;
  servedByKey.set(key, (servedByKey.get(key) ?? 0) + cost / weight);
}

/** Queues a request; resolves with null if the team's queue is full. */
async function waitForEngine(key: string): Promise<PooledEngine | null> {
  const queue = queueByKey.get(key) ?? [];
  if (queue.length >= MAX_WAITING_PER_TEAM) return null;
  if (queue.length === 0) raiseToFloor(key);
  queueByKey.set(key, queue);
  return await new Promise((resolve) => {
    queue.push({ resume: resolve });
  });
}

/**
 * Raises a team that returns from idle to the least served waiting team, so
 * that it can't claim slots for the time when it sent nothing.
 */
function raiseToFloor(key: string): void {
  const waiting = [...queueByKey].filter(([, queue]) => queue.length > 0);
  const values = waiting.map(([other]) => servedByKey.get(other) ?? 0);
  if (values.length === 0) return;
  servedByKey.set(
    key,
    Math.max(servedByKey.get(key) ?? 0, Math.min(...values)),
  );
}

/** Starts a request of the least served waiting team, if an engine is free. */
function resumeNext(): void {
  const waiting = [...queueByKey].filter(([, queue]) => queue.length > 0);
  waiting.sort(
    ([a], [b]) => (servedByKey.get(a) ?? 0) - (servedByKey.get(b) ?? 0),
  );
  const first = waiting[0]?.[1];
  if (first === undefined) return;
  const engine = pool.pick();
  if (engine !== null) first.shift()?.resume(engine);
}
