/** A direct router with scripted backend servers. */

import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { headerDialect } from "../../platform/header_dialect.ts";
import { AdmissionProcess } from "../../src/admission/mod.ts";
import { EventLog } from "../../src/common/event_log.ts";
import {
  DirectRouter,
  type DirectRouterSettings,
} from "../../src/direct/mod.ts";
import type { FleetConfiguration } from "../../src/routing/mod.ts";
import {
  type ReceivedRequest,
  type Script,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";

/** Secret that the processes of a test share. */
export const FLEET_KEY = "key of the test fleet";

/** A log that is discarded. */
export const events = new EventLog("test", (_text, done) => done(null));

/** A running router and its backend servers. */
export interface RouterFixture {
  readonly router: DirectRouter;
  readonly servers: readonly ScriptedServer[];
  /** Port for callers. */
  readonly port: number;
  readonly readyPort: number;
  /** Stops the servers and the router. */
  close(): Promise<void>;
}

/** Options of `createRouterFixture`. */
export interface RouterFixtureOptions {
  /** Null to start the router without a configuration. */
  readonly configuration?: FleetConfiguration | null;
  /** One script per server. */
  readonly scripts?: readonly Script[];
  /** Time that the router may take to shut down. */
  readonly graceSeconds?: number;
  readonly retries?: DirectRouterSettings["retries"];
  /** Port of the admission processes; none listens on the default. */
  readonly gatePort?: number;
  /** Time after which API keys need a new confirmation; 5 s by default. */
  readonly revocationMs?: number;
  /** Time within which a change must be in force; 2 s by default. */
  readonly configurationMs?: number;
  /** How often the configuration is confirmed, in ms; 100 by default. */
  readonly confirmIntervalMs?: number;
  /** Memory of the machine, in MB; the product's default if absent. */
  readonly memoryMb?: number;
  /** Software version of each server; `v1` by default. */
  readonly versions?: readonly string[];
}

/**
 * Starts a router that knows its servers and whose configuration is confirmed
 * every 100 ms, as by a reachable store.
 */
export async function createRouterFixture({
  scripts = [respondCompletely],
  ...options
}: RouterFixtureOptions): Promise<RouterFixture> {
  const servers = scripts.map((script) => new ScriptedServer(script));
  for (const server of servers) await server.listen();
  const running = await startRouter(servers, options);
  return {
    ...running,
    close: async () => {
      for (const server of servers) server.crash();
      await running.close();
    },
  };
}

/** Starts a router before servers that run already; `close` leaves them. */
export async function startRouter(
  servers: readonly ScriptedServer[],
  {
    configuration = createConfiguration(),
    graceSeconds = 0.2,
    gatePort = 1,
    versions = [],
    revocationMs = 5_000,
    configurationMs = 2_000,
    confirmIntervalMs = 100,
    retries = { ratio: 1, windowSeconds: 10, slack: 100 },
    memoryMb,
  }: Omit<RouterFixtureOptions, "scripts">,
): Promise<RouterFixture> {
  const [port = 0, readyPort = 0] = await freePorts(2);
  const router = new DirectRouter(
    {
      instance: `router-${port}`,
      availabilityZone: "a",
      entry: `127.0.0.1:${port}`,
      ready: `127.0.0.1:${readyPort}`,
      registry: "127.0.0.1:1",
      gatePort,
      fleetKey: FLEET_KEY,
      graceSeconds,
      revocationMs,
      ...{ configurationMs, noticeMs: 3_000 },
      retries,
      ...(memoryMb === undefined ? {} : { memoryMb }),
    },
    { events, dialect: headerDialect },
  );
  if (configuration !== null) router.configure(configuration);
  for (const [index, server] of servers.entries()) {
    if (!server.isListening) continue;
    const options = { version: versions[index] ?? "v1" };
    announceServer(router, `s${index + 1}`, server.port, options);
  }
  await router.start();
  const confirmTimer = setInterval(
    () => confirmConfiguration(router),
    confirmIntervalMs,
  );
  confirmConfiguration(router);
  return {
    ...{ router, servers, port, readyPort },
    close: async () => {
      clearInterval(confirmTimer);
      await router.close();
    },
  };
}

/** Starts an admission process on loopback; the caller closes it. */
export async function startAdmission(
  port: number,
  { host = "127.0.0.1" }: { readonly host?: string } = {},
): Promise<AdmissionProcess> {
  const admission = new AdmissionProcess(
    {
      ...{ instance: "side-1", availabilityZone: "a", service: "desk" },
      ...{ engine: "", listen: { host, port } },
      fleetKey: FLEET_KEY,
    },
    { events },
  );
  await admission.start();
  return admission;
}

/** Adds a server of the service `desk` to the router's directory. */
export function announceServer(
  router: DirectRouter,
  id: string,
  port: number,
  {
    startedAtMs = 0,
    version = "v1",
  }: { readonly startedAtMs?: number; readonly version?: string } = {},
): void {
  const start = { startedAtMs, version };
  const options = { id, host: "127.0.0.1", port, slots: 8, ...start };
  router.directory.put(createServer(options));
}

function confirmConfiguration({ configuration }: DirectRouter): void {
  configuration.confirm({ monotonicMs: performance.now(), wallMs: Date.now() });
}

/**
 * Sends a request whose prompt has the shared parts and one of its own, and reads
 * the response until it ends or breaks off; returns its status.
 */
export async function callWithParts(
  port: number,
  {
    number,
    parts,
  }: { readonly number: number; readonly parts: readonly string[] },
): Promise<number> {
  const all = [...parts, `last${number}`].map((part) => `${part}:10`);
  const response = await request(`http://127.0.0.1:${port}/lookup/${number}`, {
    method: "POST",
    body: `body ${number}`,
    headers: {
      ...{ host: "desk.example", "x-attempt-id": `id-${number}` },
      ...{ authorization: "Token key-1", "x-model": "m" },
      ...{ "x-token-count": "100,10", "x-prefix-hash": all.join(",") },
    },
  });
  await response.body.text().catch(() => "");
  return response.statusCode;
}

/** Headers that every response of a server has. */
export function serverHeaders({ headers }: ReceivedRequest): string {
  return `X-Attempt-Id: ${headers["x-attempt-id"]}\r\nX-Response-Seal: seal\r\n`;
}

/** Sends a complete response at once. */
export function respondCompletely(request: ReceivedRequest): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
  request.socket.write(`${head}Content-Length: 4\r\n\r\nfine`);
}

/** Reads the request and never responds. */
export function neverRespond(): void {}

/** Sends the headers and the first events of a stream. */
export function startStream(request: ReceivedRequest, events: string): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
  const type = "Content-Type: text/event-stream\r\n";
  request.socket.write(`${head}${type}Transfer-Encoding: chunked\r\n\r\n`);
  writeChunk(request, events);
}

/** Sends one chunk of a stream. */
export function writeChunk({ socket }: ReceivedRequest, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

/** Sends the last chunk, which marks a stream as complete. */
export function endStream({ socket }: ReceivedRequest): void {
  socket.write("0\r\n\r\n");
}

/** Writes a start, then a piece for as long as the connection is open. */
export function writeEndlessly(
  { socket }: ReceivedRequest,
  { start, piece }: { readonly start: string; readonly piece: string },
): void {
  socket.write(start);
  const block = piece.repeat(Math.ceil(16_384 / piece.length));
  const send = () => {
    while (!socket.destroyed && socket.write(block)) {}
  };
  socket.on("drain", () => setImmediate(send));
  send();
}

/** Lets other tasks of the process run for a moment. */
export async function letOtherTasksRun(): Promise<void> {
  await delay(50);
}
