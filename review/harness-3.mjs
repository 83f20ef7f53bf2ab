/**
 * Starts the deployed programs as processes, with stand-ins, for the cases 11 to
 * 15. Every address is on loopback; `run` ends all processes.
 */

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer as createHttpServer, get } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Store } from "../dist/stand_ins/store/store.js";

export { sleep };

const ROOT = new URL("../", import.meta.url).pathname;
/** Whether the case brings its disruption about. */
export const TROUBLE = process.env.TROUBLE !== "0";
/** Bounds of the small site `vratnik-sk`, as the platform fills them in. */
const BOUNDS = {
  ...{ graceS: 8, revokeMs: 5_000, stableWindowMs: 3_000, drainMs: 2_000 },
  ...{ budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, configMs: 2_000 },
};
const ZONES = { petrzalka: "bratislava", ruzinov: "bratislava" };
/** The flags of `run` in deploy/system.toml. */
const HEAP_MB = { router: 160, admission: 96 };
const WAIT_MS = 15_000;

let startedAtMs = performance.now();
let recordPath = "";

/** Appends a line to the record of the case. */
export function record(text) {
  const atMs = (performance.now() - startedAtMs).toFixed(0).padStart(6);
  appendFileSync(recordPath, `${atMs} ms  ${text}\n`);
}

/** Waits until a condition holds; the case can't run if it never does. */
export async function until(what, holds, timeoutMs = WAIT_MS) {
  const endMs = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > endMs) throw new Error(`Not in time: ${what}`);
    await sleep(20);
  }
}

async function freePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Fills in a template of deploy/ as far as the templates use the syntax. */
function render(role, fields) {
  const template = readFileSync(
    join(ROOT, "deploy", `${role}.json.template`),
    "utf8",
  );
  const fieldOf = (name) =>
    name.split(".").reduce((at, key) => at?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, text) =>
      fieldOf(name) === undefined ? "" : text,
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, name, json) => {
      const value = fieldOf(name);
      return json === undefined ? String(value) : JSON.stringify(value);
    });
}

/** A replica: answers each request by a script; records what it ran. */
export class Replica {
  /** @param options.isQuiet whether its runs are left out of the record */
  constructor(id, script, { isQuiet = false } = {}) {
    Object.assign(this, { id, script, isQuiet, runs: [], sockets: new Set() });
  }

  async listen(host) {
    this.host = host;
    this.server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, host, resolve);
    });
    this.port = this.server.address().port;
  }

  #serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    let rest = "";
    socket.on("data", (chunk) => {
      rest += chunk.toString("latin1");
      for (;;) {
        const end = rest.indexOf("\r\n\r\n");
        if (end === -1) return;
        const [first, ...lines] = rest.slice(0, end).split("\r\n");
        const headers = {};
        for (const line of lines) {
          const colon = line.indexOf(":");
          headers[line.slice(0, colon).toLowerCase()] = line
            .slice(colon + 1)
            .trim();
        }
        const total = end + 4 + Number(headers["content-length"] ?? 0);
        if (rest.length < total) return;
        const body = rest.slice(end + 4, total);
        rest = rest.slice(total);
        const [method, path] = first.split(" ");
        this.#answer({ method, path, headers, body, socket });
      }
    });
  }

  #answer(request) {
    const { method, path, headers, socket } = request;
    if (path === "/kv-list") {
      const text = JSON.stringify({ epoch: 1, next: 0, held: [] });
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
      );
      return;
    }
    if (headers["x-expect-replica"] !== this.id) {
      socket.write(
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
      );
      return;
    }
    const id = headers["x-attempt-id"] ?? "";
    this.runs.push({ id, method, path, headers });
    if (!this.isQuiet)
      record(
        `replica ${this.id} runs ${short(id)} (${method} ${path.slice(0, 40)})`,
      );
    this.script(request, this);
  }

  /** Ends as a killed process does: nobody listens, all channels are reset. */
  crash() {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** Starts again at its address; register it anew. */
  async comeBack() {
    this.server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve) =>
      this.server.listen(this.port, this.host, resolve),
    );
  }

  close() {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** An id for the record. */
export function short(id) {
  return id.length > 24 ? `${id.slice(0, 16)}... (${id.length} bytes)` : id;
}

/** Headers that each answer of a replica has. */
export function sealOf({ headers }) {
  const id = headers["x-attempt-id"];
  return `X-Attempt-Id: ${id}\r\nX-Response-Seal: seal-${short(id)}\r\n`;
}

/** The deployment of one case. */
export class Deployment {
  store = new Store();
  children = new Set();
  programs = new Set();
  replicas = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #count = 0;

  async start(configuration) {
    // Each run has addresses of its own, so that fixed ports are free.
    this.net = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;
    await this.#openStore();
    this.gatePort = await freePort("127.0.0.1");
    this.configure(configuration);
  }

  async #openStore() {
    this.storeServer = createHttpServer((request, response) => {
      void this.store.handle(
        request,
        response,
        new URL(request.url ?? "/", "http://store"),
      );
    });
    await new Promise((resolve) =>
      this.storeServer.listen(0, "127.0.0.1", resolve),
    );
    this.storePort = this.storeServer.address().port;
  }

  /** Gives the store another address: all settings files change, with SIGHUP. */
  async moveStore() {
    const before = this.storeServer;
    await this.#openStore();
    for (const { path, role, fields, child } of this.programs) {
      writeFileSync(path, this.#settingsOf(role, fields));
      child.kill("SIGHUP");
    }
    before.close();
    before.closeAllConnections();
  }

  /** Stops a router with SIGTERM and starts it again, as the platform does. */
  async restartRouter(router) {
    router.child.kill("SIGTERM");
    await until(`${router.node} ends`, () => router.exit !== null);
    return await this.respawn(router);
  }

  /** Starts a router again that has ended. */
  async respawn(router) {
    this.programs.delete(router);
    const { host, port, readyPort } = router;
    const next = this.#spawn("router", router.fields);
    Object.assign(next, { host, port, readyPort });
    await this.#untilReady(next);
    return next;
  }

  configure(configuration) {
    this.store.put("config", "main", configuration);
  }

  /** Starts a replica and registers it. */
  async addReplica(id, script, entry = {}, options = {}) {
    const replica = new Replica(id, script, options);
    await replica.listen(`${this.net}.${100 + this.replicas.length}`);
    this.replicas.push(replica);
    replica.entry = entry;
    this.announce(replica);
    return replica;
  }

  /** Writes the entry of a replica that has started. */
  announce({ id, host, port, entry }) {
    this.store.put("servers", id, {
      ...{ service: "desk-model", address: `${host}:${port}` },
      ...{ zone: "petrzalka", version: "v1", slots: 64, state: "ready" },
      ...{ warmupLeftMs: 0, sequence: 1, born: Date.now() },
      ...entry,
    });
  }

  /** Starts the admission controller beside a replica. */
  async startAdmission(replica) {
    const program = this.#spawn("admission", {
      ...{ node: `side-${replica.id}`, ip: replica.host },
      ...{ service: "desk-model", app: `${replica.host}:${replica.port}` },
    });
    await until(`admission of ${replica.id} listens`, () =>
      program.events.some(({ event }) => event === "cache-listed"),
    );
    return program;
  }

  /** Starts a router and waits until it is ready and knows all replicas. */
  async startRouter() {
    this.#count += 1;
    const ip = `${this.net}.${this.#count}`;
    const port = await freePort(ip);
    const readyPort = await freePort(ip);
    const listen = { front: `${ip}:${port}`, ready: `${ip}:${readyPort}` };
    const fields = { node: `edge-${this.#count}`, ip, listen };
    const router = this.#spawn("router", fields);
    Object.assign(router, { host: ip, port, readyPort });
    await this.#untilReady(router);
    return router;
  }

  async #untilReady(router) {
    await until("the router is ready", () => isReady(router));
    await until(
      "the router knows the replicas",
      () =>
        router.events.filter(({ event }) => event === "server").length >=
        this.replicas.length,
    );
  }

  #settingsOf(role, fields) {
    return render(role, {
      ...{ zone: "petrzalka", zones: ZONES, bounds: BOUNDS },
      limits: { memoryMb: 350, maxFds: 4_100 },
      internalPorts: [this.gatePort, this.gatePort + 15],
      platform: { address: `127.0.0.1:${this.storePort}` },
      ...fields,
    });
  }

  #spawn(role, fields) {
    const path = join(this.#folder, `${fields.node}.json`);
    writeFileSync(path, this.#settingsOf(role, fields));
    const script = join("target", "bundle", `${role}_main.js`);
    const child = spawn(
      process.execPath,
      [`--max-old-space-size=${HEAP_MB[role]}`, script],
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, ORIOLEROUTER_BOOT: path },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    this.children.add(child);
    const program = { node: fields.node, role, fields, path, child };
    Object.assign(program, { events: [], stderr: "", exit: null });
    this.programs.add(program);
    child.once("exit", (code, signal) => {
      program.exit = { code, signal };
      this.children.delete(child);
    });
    let rest = "";
    child.stdout.setEncoding("utf8").on("data", (text) => {
      const lines = (rest + text).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) program.events.push(JSON.parse(line));
    });
    child.stderr.setEncoding("utf8").on("data", (text) => {
      program.stderr += text;
    });
    return program;
  }

  /** Ends all processes at once. */
  abandon() {
    for (const child of this.children) child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async close() {
    for (const child of this.children) child.kill("SIGKILL");
    for (const replica of this.replicas) replica.close();
    this.storeServer?.close();
    this.storeServer?.closeAllConnections();
    await sleep(50);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

export async function isReady({ host, readyPort }) {
  return await new Promise((resolve) => {
    const request = get({
      host,
      port: readyPort,
      path: "/ready",
      agent: false,
    });
    request.once("response", (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.once("error", () => resolve(false));
  });
}

/**
 * A consumer's channel. Sends one request at a time and reads the answer as the
 * protocol tells its end: by length, by chunks, or with the channel.
 */
export class Channel {
  #rest = Buffer.alloc(0);
  #onEvent = () => undefined;
  /** `open`, `fin` (closed in order) or the code of an error, as a reset. */
  state = "open";

  constructor({ host, port }) {
    this.socket = connect({ host, port });
    this.socket.setNoDelay(true);
    this.socket.on("data", (chunk) => {
      this.#rest = Buffer.concat([this.#rest, chunk]);
      this.#onEvent();
    });
    this.socket.on("end", () => {
      if (this.state === "open") this.state = "fin";
      this.#onEvent();
    });
    this.socket.on("error", (error) => {
      this.state = error.code ?? "error";
      this.#onEvent();
    });
    this.socket.on("close", () => {
      if (this.state === "open") this.state = "closed";
      this.#onEvent();
    });
  }

  /**
   * Returns the answer: `status` (0 for none), `headers`, `body`, `framing`, and
   * whether it is `complete` to a reader of the protocol.
   */
  async request(head, body = "", timeoutMs = 20_000) {
    const length = body === "" ? "" : `Content-Length: ${body.length}\r\n`;
    this.socket.write(`${head}${length}\r\n${body}`, "latin1");
    let isOver = false;
    const timer = setTimeout(() => {
      isOver = true;
      this.#onEvent();
    }, timeoutMs);
    for (;;) {
      const answer = this.#parse();
      if (answer.complete || this.state !== "open" || isOver) {
        clearTimeout(timer);
        if (answer.complete) this.#rest = this.#rest.subarray(answer.size);
        return { ...answer, channel: this.state };
      }
      await new Promise((resolve) => {
        this.#onEvent = resolve;
      });
      this.#onEvent = () => undefined;
    }
  }

  #parse() {
    const none = { status: 0, headers: {}, body: "", framing: "none" };
    const end = this.#rest.indexOf("\r\n\r\n");
    if (end === -1) return { ...none, complete: false };
    const [first, ...lines] = this.#rest
      .toString("latin1", 0, end)
      .split("\r\n");
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line
        .slice(colon + 1)
        .trim();
    }
    const status = Number(first.split(" ")[1]);
    const from = end + 4;
    const text = this.#rest.toString("latin1", from);
    const length = headers["content-length"];
    if (length !== undefined) {
      const complete = text.length >= Number(length);
      const body = text.slice(0, Number(length));
      const size = from + Number(length);
      return { status, headers, body, framing: "length", complete, size };
    }
    if (headers["transfer-encoding"] !== undefined) {
      const { body, size } = readChunks(text);
      const complete = size !== null;
      return {
        ...{ status, headers, body, framing: "chunks", complete },
        size: from + (size ?? 0),
      };
    }
    const complete = this.state === "fin";
    const size = from + text.length;
    return {
      status,
      headers,
      body: text,
      framing: "until-close",
      complete,
      size,
    };
  }

  close() {
    this.socket.destroy();
  }
}

function readChunks(text) {
  let body = "";
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd === -1) return { body, size: null };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const next = lineEnd + 2 + size + 2;
    if (text.length < next) return { body, size: null };
    if (size === 0) return { body, size: next };
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = next;
  }
}

/** Head of a consumer's request, without the empty line at its end. */
export function headOf({
  method = "POST",
  path,
  id,
  deadlineMs = 8_000,
  more = "",
}) {
  return (
    `${method} ${path} HTTP/1.1\r\nHost: desk.example\r\n` +
    `X-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n` +
    `Authorization: Token key-of-porters\r\n${more}`
  );
}

/** A configuration like that of a small site; `routes` by name. */
export function configurationOf(routes, { version = 1 } = {}) {
  return {
    version,
    routes: routes.map((route) => ({
      ...{ host: "desk.example", kind: "streaming", timeoutMs: 8_000 },
      ...{ targetLatencyMs: 1_000, priority: 1, maxAttempts: 2 },
      ...{ service: "desk-model" },
      ...route,
    })),
    services: [
      {
        ...{ name: "desk-model", maxConns: 360 },
        engine: { slots: 64, kvCapacity: 557_973 },
      },
      { name: "desk-app", maxConns: 96 },
    ],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304 },
      ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, tokensPerS: 200_000 },
    },
    tenants: [{ name: "porters", apiKeys: ["key-of-porters"] }],
  };
}

/**
 * Runs a case: exits with 1 if it returns what broke the rule, 0 if it returns
 * null, 2 if it can't run.
 */
export async function run(folderUrl, scenario) {
  const folder = new URL(".", folderUrl).pathname;
  recordPath = join(folder, "record.txt");
  writeFileSync(recordPath, "");
  startedAtMs = performance.now();
  record(
    TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)",
  );
  const deployment = new Deployment();
  // Also when the script is ended from outside, no process is left behind.
  process.on("exit", () => deployment.abandon());
  for (const signal of ["SIGTERM", "SIGINT"])
    process.once(signal, () => process.exit(2));
  const limit = setTimeout(() => {
    record("NOT RUN: 110 s are over");
    process.exit(2);
  }, 110_000);
  let code = 2;
  try {
    const broken = await scenario(deployment);
    record(broken === null ? "RULE HELD" : `RULE BROKEN: ${broken}`);
    process.stdout.write(`${broken === null ? "held" : `broken: ${broken}`}\n`);
    code = broken === null ? 0 : 1;
  } catch (error) {
    record(`NOT RUN: ${error.stack}`);
    process.stdout.write(`not run: ${error.message}\n`);
  } finally {
    clearTimeout(limit);
    await deployment.close();
  }
  process.exit(code);
}
