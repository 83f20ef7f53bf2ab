/**
 * A baseline router: the same callers' interface, another decision.
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

/** Requests of a team that may wait; as in the product's contracts. */
const WAITING_LIMIT = 200;

interface Waiting {
  readonly start: (engine: PooledEngine) => void;
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
const lines = new Map<string, Waiting[]>();
const served = new Map<string, number>();

await serve(handle, Number(values.port));

async function handle(
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming);
  const key = String(incoming.headers.authorization).slice("Bearer ".length);
  const engine = pool.pick() ?? (await wait(key));
  if (engine === null) {
    response.writeHead(429, {
      "oriole-outcome": "not-run",
      "retry-after": "1",
    });
    response.end("{}");
    return;
  }
  engine.own += 1;
  try {
    await forward(engine, { body, key }, response);
  } finally {
    engine.own -= 1;
    next();
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
  for await (const piece of reply.body as AsyncIterable<Buffer>) {
    charge(key, piece);
    if (!response.write(piece)) await once(response, "drain");
  }
  response.end();
}

/** Static shares know the service given in this router only. */
function charge(key: string, piece: Buffer): void {
  const cost = piece.toString("latin1").split("data:").length - 1;
  const weight = weightByKey[key] ?? 1;
  served.set(key, (served.get(key) ?? 0) + cost / weight);
}

async function wait(key: string): Promise<PooledEngine | null> {
  const line = lines.get(key) ?? [];
  if (line.length >= WAITING_LIMIT) return null;
  if (line.length === 0) raise(key);
  lines.set(key, line);
  return await new Promise((resolve) => {
    line.push({ start: resolve });
  });
}

/** A team that returns from idle starts at the least of those waiting. */
function raise(key: string): void {
  const waiting = [...lines].filter(([, line]) => line.length > 0);
  const values = waiting.map(([other]) => served.get(other) ?? 0);
  if (values.length === 0) return;
  served.set(key, Math.max(served.get(key) ?? 0, Math.min(...values)));
}

function next(): void {
  const waiting = [...lines].filter(([, line]) => line.length > 0);
  waiting.sort(([a], [b]) => (served.get(a) ?? 0) - (served.get(b) ?? 0));
  const first = waiting[0]?.[1];
  if (first === undefined) return;
  const engine = pool.pick();
  if (engine !== null) first.shift()?.start(engine);
}
