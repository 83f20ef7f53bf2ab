/** One direct router before scripted backend servers. */

import { setTimeout as delay } from "node:timers/promises";
import { headerDialect } from "../../platform/header_dialect.ts";
import { EventLog } from "../../src/common/event_log.ts";
import { DirectRouter } from "../../src/direct/mod.ts";
import type { FleetConfiguration } from "../../src/routing/mod.ts";
import {
  type Script,
  ScriptedServer,
  type SeenRequest,
} from "../../stand_ins/scripted_server.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";

const events = new EventLog("test", (_text, done) => done(null));

/** A router and what stands behind it. */
export interface World {
  readonly router: DirectRouter;
  readonly servers: readonly ScriptedServer[];
  readonly port: number;
  readonly readyPort: number;
  close(): Promise<void>;
}

/** Options of a world. */
export interface WorldOptions {
  readonly configuration?: FleetConfiguration | null;
  /** One script for each server. */
  readonly scripts?: readonly Script[];
  /** Time that the router has to end. */
  readonly graceSeconds?: number;
}

/** Starts a router that knows its servers and is in touch. */
export async function createWorld({
  configuration = createConfiguration(),
  scripts = [answerWhole],
  graceSeconds = 0.2,
}: WorldOptions): Promise<World> {
  const [port = 0, readyPort = 0] = await freePorts(2);
  const router = new DirectRouter(
    {
      instance: "router-1",
      availabilityZone: "a",
      entry: `127.0.0.1:${port}`,
      ready: `127.0.0.1:${readyPort}`,
      registry: "127.0.0.1:1",
      gatePort: 1,
      fleetKey: "key of the test fleet",
      graceSeconds,
      revocationMs: 5_000,
      noticeMs: 3_000,
      retries: { ratio: 1, windowSeconds: 10, slack: 100 },
    },
    { events, dialect: headerDialect },
  );
  const servers = scripts.map((script) => new ScriptedServer(script));
  for (const server of servers) await server.listen();
  if (configuration !== null) router.configure(configuration);
  for (const [index, server] of servers.entries()) {
    announce(router, `s${index + 1}`, server.port);
  }
  await router.start();
  const renew = setInterval(() => confirm(router), 100);
  confirm(router);
  return {
    ...{ router, servers, port, readyPort },
    close: async () => {
      clearInterval(renew);
      for (const server of servers) server.crash();
      await router.close();
    },
  };
}

/** Announces a server of the service `desk`. */
export function announce(router: DirectRouter, id: string, port: number): void {
  const place = { id, host: "127.0.0.1", port, slots: 8 };
  router.directory.put(createServer(place));
}

function confirm({ beliefs }: DirectRouter): void {
  beliefs.confirm({ monotonicMs: performance.now(), wallMs: Date.now() });
}

/** Headers that every answer of a server bears. */
export function answerHeaders({ headers }: SeenRequest): string {
  return `X-Attempt-Id: ${headers["x-attempt-id"]}\r\nX-Response-Seal: seal\r\n`;
}

/** Answers at once and whole. */
export function answerWhole(request: SeenRequest): void {
  const head = `HTTP/1.1 200 OK\r\n${answerHeaders(request)}`;
  request.socket.write(`${head}Content-Length: 4\r\n\r\nfine`);
}

/** Runs the request and never answers. */
export function answerNever(): void {}

/** Writes the head and the first events of a stream. */
export function beginStream(request: SeenRequest, events: string): void {
  const head = `HTTP/1.1 200 OK\r\n${answerHeaders(request)}`;
  const type = "Content-Type: text/event-stream\r\n";
  request.socket.write(`${head}${type}Transfer-Encoding: chunked\r\n\r\n`);
  writeChunk(request, events);
}

/** Writes a part of a stream. */
export function writeChunk({ socket }: SeenRequest, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

/** Ends a stream as whole. */
export function endStream({ socket }: SeenRequest): void {
  socket.write("0\r\n\r\n");
}

/** Lets other tasks of the process run for a moment. */
export async function breathe(): Promise<void> {
  await delay(50);
}
