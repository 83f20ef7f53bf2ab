// Shared by the scripts of review/6 to review/10: a store, backend servers,
// callers, and the project's own programs as processes. Node.js only.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../", import.meta.url));
export const TROUBLE = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((r) => setTimeout(r, ms));
/** Loopback network of this run, so that runs beside each other don't collide. */
const NET = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}`;
let nextHost = 1;
export const newHost = () => `${NET}.${nextHost++}`;

export async function freePort(host = "127.0.0.1") {
  const server = net.createServer();
  await new Promise((r, e) => server.once("error", e).listen(0, host, r));
  const { port } = server.address();
  await new Promise((r) => server.close(r));
  return port;
}

export async function until(holds, ms, what) {
  const end = Date.now() + ms;
  for (;;) {
    if (await holds()) return;
    if (Date.now() > end) throw new Error(`Not within ${ms} ms: ${what}`);
    await sleep(20);
  }
}

/** The platform's store: list, watch, events in order, one revision counter. */
export class Store {
  rev = 1;
  kinds = new Map();
  history = [];
  waiting = new Set();
  down = false;
  async start() {
    this.host = newHost();
    this.server = http.createServer((q, s) => this.#handle(q, s));
    this.server.keepAliveTimeout = 600_000;
    await new Promise((r) => this.server.listen(0, this.host, r));
    this.address = `${this.host}:${this.server.address().port}`;
  }
  put(kind, name, spec) {
    this.rev += 1;
    const object = { metadata: { name, rev: this.rev }, spec };
    this.#of(kind).set(name, object);
    this.#append({ kind, rev: this.rev, object, deleted: false });
    return Date.now();
  }
  remove(kind, name) {
    const object = this.#of(kind).get(name);
    if (object === undefined) return;
    this.rev += 1;
    this.#of(kind).delete(name);
    this.#append({ kind, rev: this.rev, object, deleted: true });
  }
  #append(event) {
    this.history.push(event);
    for (const wake of [...this.waiting]) wake();
  }
  #of(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }
  async #handle(request, response) {
    request.resume();
    const url = new URL(request.url, "http://store");
    const kind = url.pathname.split("/")[2] ?? "";
    const send = (status, value) => {
      const text = JSON.stringify(value);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "store-era": "1",
      });
      response.end(text);
    };
    if (this.down) return send(503, {});
    const watch = url.searchParams.get("watch");
    if (watch === null) {
      const items = [...this.#of(kind).values()];
      return send(200, { items, hasMore: false, currentRev: this.rev });
    }
    const from = Number(watch);
    const find = () =>
      this.history.filter((e) => e.kind === kind && e.rev > from);
    if (find().length === 0)
      await new Promise((resolve) => {
        const wake = () => {
          if (find().length === 0) return;
          done();
        };
        const done = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(done, Number(url.searchParams.get("waitMs")));
        this.waiting.add(wake);
      });
    const events = find().map(({ object, deleted }) => ({ object, deleted }));
    send(200, { events, currentRev: this.rev });
  }
}

/** A backend server that answers by a script; reads requests from raw bytes. */
export class Backend {
  requests = [];
  constructor(id, script) {
    this.id = id;
    this.script = script;
    this.sockets = new Set();
  }
  async start(host = newHost()) {
    this.host = host;
    this.server = net.createServer((socket) => this.#serve(socket));
    await new Promise((r) => this.server.listen(0, host, r));
    this.port = this.server.address().port;
    return this;
  }
  entry(fields = {}) {
    return {
      service: "app", address: `${this.host}:${this.port}`, zone: "a",
      slots: 64, version: "v1", state: "ready", born: 1, warmupLeftMs: 0,
      sequence: 1, ...fields,
    };
  }
  #serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.sockets.delete(socket));
    let rest = Buffer.alloc(0);
    socket.on("data", (chunk) => {
      rest = Buffer.concat([rest, chunk]);
      for (;;) {
        const end = rest.indexOf("\r\n\r\n");
        if (end === -1) return;
        const [first, ...lines] = rest.subarray(0, end).toString("latin1").split("\r\n");
        const headers = {};
        for (const line of lines) {
          const at = line.indexOf(":");
          headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
        }
        const length = Number(headers["content-length"] ?? 0);
        if (rest.length < end + 4 + length) return;
        const body = rest.subarray(end + 4, end + 4 + length);
        rest = rest.subarray(end + 4 + length);
        const [method, path] = first.split(" ");
        const request = { method, path, headers, body, socket, at: Date.now(), id: headers["x-attempt-id"] };
        this.#handle(request);
      }
    });
  }
  #handle(request) {
    if (request.path === "/report" || request.path === "/kv-list") {
      const text = JSON.stringify(
        request.path === "/report"
          ? { born: 1, stage: "unified", models: [{ name: "m", version: 1, adapters: [] }], busy: false, sequence: 1, waiting: 0, running: 0, kvUsed: 0, kvTotal: 500000, handles: 0 }
          : { epoch: 1, next: 1, held: [] },
      );
      request.socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
      return;
    }
    const expected = request.headers["x-expect-replica"];
    if (expected !== undefined && expected !== this.id) {
      request.socket.write(`HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: ${request.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    this.requests.push(request);
    this.script(request, this);
  }
}

export const head = (request, status = "200 OK") =>
  `HTTP/1.1 ${status}\r\nX-Attempt-Id: ${request.id}\r\nX-Response-Seal: seal-${request.id}\r\n`;
/** A complete answer with a length. */
export function answer(request, body = "fine", status = "200 OK") {
  request.socket.write(`${head(request, status)}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

/** A program of the deploy file, started with its command. */
export class Program {
  events = [];
  constructor(fleet, role, fields) {
    this.role = role;
    this.deployed = deployedAs(role, fields);
    this.path = join(fleet.folder, `${role}-${fleet.programs.length}.json`);
    writeFileSync(this.path, fill(readFileSync(join(ROOT, this.deployed.template), "utf8"), fields));
    this.start();
  }
  start() {
    const { words, env } = this.deployed;
    const [command, ...parameters] = words;
    this.exit = null;
    this.process = spawn(command === "node" ? process.execPath : command, parameters, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env, ORIOLEROUTER_BOOT: this.path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    let rest = "";
    this.process.stdout.setEncoding("utf8").on("data", (text) => {
      const lines = (rest + text).split("\n");
      rest = lines.pop();
      for (const line of lines) try { this.events.push(JSON.parse(line)); } catch {}
    });
    this.stderr = "";
    this.process.stderr.setEncoding("utf8").on("data", (t) => { this.stderr = (this.stderr + t).slice(-4000); });
    const child = this.process;
    child.on("exit", (code, signal) => {
      if (this.process === child) this.exit = { code, signal, at: Date.now() };
    });
  }
  rssMb() {
    try {
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${this.process.pid}/status`, "utf8"))[1]) / 1024);
    } catch { return null; }
  }
  of(event) { return this.events.filter((e) => e.event === event); }
}

export const BOUNDS = {
  seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, syncS: 4, drainMs: 2000, graceS: 8,
  lossSlackMs: 200, configMs: 2000, downgradeMs: 250, stretchMaxMs: 5000, strictRevoke: true, revokeMs: 5000,
  budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, recoverS: 12,
};

/** Fills in placeholders; only the syntax that the project's files use. */
function fill(template, fields) {
  const of = (name) => name.split(".").reduce((at, key) => at?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_a, name, text) => (of(name) === undefined ? "" : text))
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_a, name, json) => (json ? JSON.stringify(of(name)) : String(of(name) ?? "")));
}

/** Command, environment and template of a role in the deploy file. */
function deployedAs(role, fields) {
  const file = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = (file.split(`[roles.${role}]`)[1] ?? "").split("\n[")[0];
  const text = (name) => new RegExp(`^${name} = "(.*)"$`, "m").exec(section)?.[1] ?? "";
  const table = /^env = \{(.*)\}$/m.exec(section)?.[1] ?? "";
  const env = Object.fromEntries([...table.matchAll(/(\w+) = "((?:[^"\\]|\\.)*)"/g)].map(([, name, value]) => [name, fill(value, fields)]));
  return { words: fill(text("run"), fields).split(" "), template: text("template"), env };
}

export function route(change = {}) {
  return {
    name: "post", host: "desk.example", pathPrefix: "/post/", kind: "non_idempotent", timeoutMs: 8000,
    targetLatencyMs: 800, priority: 1, maxAttempts: 2, service: "app", ...change,
  };
}
export function configuration(change = {}) {
  return {
    version: 1, routes: [route()],
    services: [{ name: "app", maxConns: 96, healthPath: "/health" }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000, tokensPerS: 100000 },
    tenants: [{ name: "porters", apiKeys: ["key-one"] }], ...change,
  };
}

/** All that a script starts; `end` ends all of it. */
export class Fleet {
  programs = [];
  backends = [];
  async start(config = configuration()) {
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.store = new Store();
    await this.store.start();
    this.gatePort = await freePort();
    this.store.put("config", "main", config);
  }
  async backend(id, script, entry = {}, host = newHost()) {
    const backend = await new Backend(id, script).start(host);
    this.backends.push(backend);
    this.store.put("servers", id, backend.entry(entry));
    return backend;
  }
  #fields(node, extra) {
    return {
      node, zone: "a", zones: { a: "north", b: "north" }, bounds: BOUNDS, limits: { memoryMb: 350, maxFds: 4100 },
      internalPorts: [this.gatePort, this.gatePort + 15], platform: { address: this.store.address }, ...extra,
    };
  }
  async admission(backend, service) {
    const program = new Program(this, "admission", this.#fields(`side-${this.programs.length}`, {
      ip: backend.host, service, app: `${backend.host}:${backend.port}`,
    }));
    this.programs.push(program);
    await until(() => program.of("start").length > 0, 10000, "admission starts");
    return program;
  }
  async router() {
    const ip = newHost();
    const front = await freePort(ip);
    const ready = await freePort(ip);
    const program = new Program(this, "router", this.#fields(`edge-${this.programs.length}`, {
      ip, listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
    }));
    Object.assign(program, { host: ip, port: front, ready });
    this.programs.push(program);
    await until(() => isReady(program), 15000, "router is ready");
    await until(() => program.of("server").length >= this.backends.length, 5000, "router knows the servers");
    return program;
  }
  end() {
    for (const { process: child } of this.programs) { child.kill("SIGCONT"); child.kill("SIGKILL"); }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export function isReady({ host, ready }) {
  return new Promise((resolve) => {
    const request = http.get({ host, port: ready, path: "/ready", timeout: 1000 }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on("error", () => resolve(false));
    request.on("timeout", () => request.destroy());
  });
}

let lastId = 0;
export const newId = () => `${process.pid.toString(16)}${(++lastId).toString(16).padStart(6, "0")}`;

/** One caller's channel; sends one request at a time and reads raw bytes. */
export class Channel {
  constructor(router) {
    this.socket = net.connect({ host: router.host, port: router.port, noDelay: true });
    this.socket.on("error", (e) => { this.error = e.code; });
    this.closed = null;
    this.buffer = Buffer.alloc(0);
    this.socket.on("data", (d) => { this.buffer = Buffer.concat([this.buffer, d]); this.wake?.(); });
    this.socket.on("end", () => { this.ended = true; this.wake?.(); });
    this.socket.on("close", () => { this.closed = Date.now(); this.wake?.(); });
  }
  write(text) { this.socket.write(text); }
  /** Sends a request and resolves with {id, status, headers, body, complete, end}. */
  async send({ method = "POST", path = "/post/x", id = newId(), headers = {}, body = "b", deadlineMs = 8000, key = "key-one" } = {}) {
    const bytes = Buffer.from(body);
    const lines = { Host: "desk.example", "X-Attempt-Id": id, "X-Deadline-Ms": deadlineMs, Authorization: `Token ${key}`, "Content-Length": bytes.length, ...headers };
    const text = Object.entries(lines).map(([n, v]) => `${n}: ${v}\r\n`).join("");
    const sentAt = Date.now();
    this.socket.write(Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${text}\r\n`), bytes]));
    return { id, sentAt, ...(await this.read(deadlineMs + 2000)) };
  }
  async read(ms) {
    const until = Date.now() + ms;
    for (;;) {
      const parsed = parse(this.buffer, this.ended === true && this.error === undefined);
      const over = this.ended || this.closed !== null || Date.now() > until;
      if (parsed.complete || over) {
        if (parsed.complete) this.buffer = this.buffer.subarray(parsed.used);
        const end = parsed.complete ? "complete" : this.error ? `reset ${this.error}` : this.ended || this.closed ? "closed" : "silent";
        return { ...parsed, end, at: Date.now() };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, 200);
        this.wake = () => { clearTimeout(timer); resolve(); };
      });
    }
  }
  close() { this.socket.destroy(); }
}

function parse(buffer, isEnded) {
  const end = buffer.indexOf("\r\n\r\n");
  if (end === -1) return { status: null, headers: {}, body: buffer.toString("latin1"), complete: false, used: 0 };
  const [first, ...lines] = buffer.subarray(0, end).toString("latin1").split("\r\n");
  const headers = {};
  for (const line of lines) {
    const at = line.indexOf(":");
    headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
  }
  const status = Number(first.split(" ")[1]);
  const rest = buffer.subarray(end + 4);
  if (status < 200) {
    const inner = parse(rest, isEnded);
    return { ...inner, used: inner.used + end + 4 };
  }
  if (headers["content-length"] !== undefined) {
    const length = Number(headers["content-length"]);
    const complete = rest.length >= length;
    return { status, headers, body: rest.subarray(0, length).toString("latin1"), complete, used: end + 4 + length };
  }
  if ((headers["transfer-encoding"] ?? "").includes("chunked")) {
    let at = 0;
    let body = "";
    for (;;) {
      const line = rest.indexOf("\r\n", at);
      if (line === -1) return { status, headers, body, complete: false, used: 0 };
      const size = Number.parseInt(rest.subarray(at, line).toString("latin1"), 16);
      if (rest.length < line + 2 + size + 2) {
        return { status, headers, body: body + rest.subarray(line + 2).toString("latin1"), complete: false, used: 0 };
      }
      body += rest.subarray(line + 2, line + 2 + size).toString("latin1");
      at = line + 2 + size + 2;
      if (size === 0) return { status, headers, body, complete: true, used: end + 4 + at };
    }
  }
  return { status, headers, body: rest.toString("latin1"), complete: isEnded, used: buffer.length };
}

/** Runs a case: writes record.txt, exits with 1 if the rule broke, 0 if it held. */
export async function run(folder, play) {
  const lines = [];
  const startedAt = Date.now();
  const log = (text) => {
    lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);
  };
  const fleet = new Fleet();
  const stop = () => { fleet.end(); process.exit(2); };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("uncaughtException", (error) => {
    log(`Could not run: ${error.stack}`);
    finish(2);
  });
  let code = 2;
  const guard = setTimeout(() => {
    log("Could not run: longer than 115 s");
    finish(2);
  }, 115_000);
  const finish = (result) => {
    clearTimeout(guard);
    const verdict = ["the rule held", "the rule was broken", "the case could not run"][result];
    log(`Result: ${verdict} (TROUBLE=${TROUBLE ? 1 : 0}), exit ${result}`);
    try { fleet.end(); } catch {}
    writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(result);
  };
  try {
    code = (await play(fleet, log)) ? 1 : 0;
  } catch (error) {
    log(`Could not run: ${error.stack}`);
    code = 2;
  }
  finish(code);
}
