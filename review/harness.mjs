// Starts the programs of the deploy file before stand-ins, on loopback.

import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

export const ROOT = fileURLToPath(new URL("../", import.meta.url));
/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== "0";
export const KEY = "key-of-porters";
export const HOST = "desk.example";

/** The bounds of the site vratnik-sk. */
const BOUNDS = {
  ...{ graceS: 8, revokeMs: 5000, configMs: 2000, stableWindowMs: 3000 },
  ...{ budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52 },
};
const START_TIMEOUT_MS = 20_000;

/** One run: record, store, replicas and programs. */
export class Run {
  #startedAt = performance.now();
  #lines = [];
  #recordPath;
  #folder = mkdtempSync(join(tmpdir(), "oriole-review-"));
  #net = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
  #hosts = 0;
  #closers = [];
  #gatePort = 0;
  #programs = [];
  store = null;

  constructor(caseUrl) {
    this.#recordPath = fileURLToPath(new URL("record.txt", caseUrl));
    process.on("exit", () => {
      for (const { child } of this.#programs) child.kill("SIGKILL");
      rmSync(this.#folder, { recursive: true, force: true });
    });
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"])
      process.on(signal, () => process.exit(2));
    this.log(`case started, TROUBLE=${TROUBLE ? 1 : 0}`);
  }

  /** Seconds since the start. */
  get seconds() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  log(text) {
    this.#lines.push(`${this.seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  nextHost() {
    this.#hosts += 1;
    return `${this.#net}.${this.#hosts}`;
  }

  async startStore(configuration) {
    const host = this.nextHost();
    this.#gatePort = await freePort(host);
    this.store = new Store();
    const server = http.createServer((request, response) =>
      this.store.handle(request, response),
    );
    await listen(server, host);
    this.store.address = `${host}:${server.address().port}`;
    this.store.put("config", "main", configuration);
    this.#closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    this.log(`store at ${this.store.address}, configuration version 1`);
  }

  /**
   * Starts a replica and writes its entry.
   *
   * `answer(request)` writes to `request.socket`; request: method, path,
   * headers (lower case), body, id, socket.
   */
  async startReplica({ id, service, answer, zone = "a", slots = 8, version = "v1" }) {
    const host = this.nextHost();
    const replica = new Replica(this, { id, answer });
    await replica.listen(host);
    this.#closers.push(() => replica.close());
    this.store.put("servers", id, {
      ...{ service, address: replica.address, zone, slots, version },
      ...{ state: "ready", warmupLeftMs: 0, sequence: 1 },
      born: Date.now(),
    });
    this.log(`replica ${id} of ${service} at ${replica.address}`);
    return replica;
  }

  async startRouter({ zone = "a" } = {}) {
    const ip = this.nextHost();
    const front = `${ip}:${await freePort(ip)}`;
    const ready = `${ip}:${await freePort(ip)}`;
    const fields = { zone, ip, listen: { front, ready } };
    const program = await this.#start("router", fields);
    const [host, port] = front.split(":");
    Object.assign(program, { host, port: Number(port), ready });
    await until("the router is ready", async () => {
      return (await readiness(ready)) === 200;
    });
    await until("the router knows the replicas", async () => {
      const known = program.events.filter(({ event }) => event === "server");
      return known.length >= this.store.count("servers");
    });
    this.log(`router at ${front} is ready, process ${program.child.pid}`);
    return program;
  }

  /** Starts the admission controller beside a replica. */
  async startAdmission(replica, { zone = "a", service }) {
    const fields = { zone, ip: replica.host, service, app: replica.address };
    const program = await this.#start("admission", fields);
    await until("the admission controller has started", async () =>
      program.events.some(({ event }) => event === "start"),
    );
    this.log(`admission controller beside ${replica.id}`);
    return program;
  }

  async #start(role, fields) {
    const number = this.#programs.length + 1;
    const settings = render(role, {
      node: `${role}-${number}`,
      bounds: BOUNDS,
      internalPorts: [this.#gatePort, this.#gatePort + 15],
      platform: { address: this.store.address },
      ...fields,
    });
    const path = join(this.#folder, `${role}-${number}.json`);
    writeFileSync(path, settings);
    const [command, ...words] = runOf(role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command === "node" ? process.execPath : command, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, ORIOLEROUTER_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const program = { role, child, events: [], exit: null, settingsPath: path };
    this.#programs.push(program);
    let rest = "";
    child.stdout.setEncoding("utf8").on("data", (text) => {
      const lines = (rest + text).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) program.events.push(parseLine(line));
    });
    child.stderr.setEncoding("utf8").on("data", (text) => {
      this.log(`${role}-${number} writes: ${text.trim()}`);
    });
    child.on("exit", (code, signal) => {
      program.exit = { code, signal, atS: this.seconds };
      this.log(`${role}-${number} has ended: code ${code}, signal ${signal}`);
    });
    return program;
  }

  signal(program, signal) {
    this.log(`${signal} to ${program.role}, process ${program.child.pid}`);
    program.child.kill(signal);
  }

  /** Ends everything, writes the record and exits. */
  async finish(verdict) {
    this.log(verdict.text);
    for (const { child, exit } of this.#programs)
      if (exit === null) child.kill("SIGKILL");
    await Promise.all(
      this.#programs.map(async (program) => {
        for (let i = 0; i < 100 && program.exit === null; i += 1)
          await sleep(20);
      }),
    );
    for (const close of this.#closers) close();
    rmSync(this.#folder, { recursive: true, force: true });
    writeFileSync(this.#recordPath, `${this.#lines.join("\n")}\n`);
    console.log(verdict.text);
    process.exit(verdict.code);
  }
}

/** Runs a case: exits with its verdict, or with 2 if it couldn't run. */
export async function main(caseUrl, body) {
  const run = new Run(caseUrl);
  const timer = setTimeout(
    () => run.finish({ code: 2, text: "COULD NOT RUN: no end in 110 s" }),
    110_000,
  );
  timer.unref();
  try {
    const broken = await body(run);
    const text =
      broken === null ? "HELD" : `BROKEN: ${broken}`;
    await run.finish({ code: broken === null ? 0 : 1, text });
  } catch (error) {
    await run.finish({ code: 2, text: `COULD NOT RUN: ${error.stack}` });
  }
}

/** The platform's store: lists and watches of objects. */
class Store {
  address = "";
  #revision = 10;
  #objects = new Map();
  #history = [];
  #waiting = new Set();

  put(kind, name, spec) {
    this.#revision += 1;
    const metadata = {
      ...{ name, rev: this.#revision, created: this.#revision },
      ...{ finalizers: [], deleteRequested: false },
    };
    const object = { metadata, spec, status: {} };
    this.#of(kind).set(name, object);
    this.#history.push({ kind, rev: this.#revision, object, deleted: false });
    for (const wake of [...this.#waiting]) wake();
  }

  count(kind) {
    return this.#of(kind).size;
  }

  #of(kind) {
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map());
    return this.#objects.get(kind);
  }

  async handle(request, response) {
    const url = new URL(request.url, "http://store");
    const [, , kind = ""] = url.pathname.split("/");
    const watch = url.searchParams.get("watch");
    const send = (value) => {
      response.writeHead(200, {
        "content-type": "application/json",
        "store-era": "1",
      });
      response.end(JSON.stringify(value));
    };
    if (watch === null) {
      const items = [...this.#of(kind).values()];
      send({ items, hasMore: false, currentRev: this.#revision });
      return;
    }
    const find = () =>
      this.#history.filter((one) => one.kind === kind && one.rev > Number(watch));
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    const untilMs = performance.now() + waitMs;
    while (find().length === 0 && performance.now() < untilMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, untilMs - performance.now());
        this.#waiting.add(wake);
      });
    }
    const events = find().map(({ object, deleted }) => ({ object, deleted }));
    send({ events, currentRev: this.#revision });
  }
}

/** A replica whose answers a case writes byte by byte. */
class Replica {
  id;
  host = "";
  address = "";
  /** Requests that it began to work on. */
  runs = [];
  #run;
  #answer;
  #server;
  #sockets = new Set();

  constructor(run, { id, answer }) {
    this.#run = run;
    this.id = id;
    this.#answer = answer;
    this.#server = net.createServer((socket) => this.#serve(socket));
  }

  async listen(host) {
    await listen(this.#server, host);
    this.host = host;
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** A crash: the process is gone, and its channels are reset. */
  crash() {
    this.#run.log(`replica ${this.id} crashes`);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    let rest = Buffer.alloc(0);
    socket.on("data", (chunk) => {
      rest = Buffer.concat([rest, chunk]);
      for (;;) {
        const parsed = parseRequest(rest);
        if (parsed === null) return;
        rest = rest.subarray(parsed.length);
        this.#handle({ ...parsed.request, socket });
      }
    });
  }

  #handle(request) {
    const { socket, path, headers } = request;
    if (path === "/kv-list" || path === "/report" || path === "/health") {
      const body = JSON.stringify(
        path === "/kv-list" ? { epoch: 1, next: 1, held: [] } : {},
      );
      const head = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n`;
      const named = `X-Replica-Id: ${this.id}\r\n`;
      const length = `Content-Length: ${body.length}\r\n\r\n`;
      socket.write(`${head}${named}${length}${body}`);
      return;
    }
    const expected = headers["x-expect-replica"];
    if (expected !== undefined && expected !== this.id) {
      const id = `X-Attempt-Id: ${request.id}\r\n`;
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\n${id}Content-Length: 0\r\n\r\n`,
      );
      return;
    }
    this.runs.push(request);
    const resumed = headers["last-event-id"];
    this.#run.log(
      `replica ${this.id} runs ${request.id}: ${request.method} ${path}` +
        (resumed === undefined ? "" : `, Last-Event-Id ${resumed}`),
    );
    this.#answer(request);
  }
}

function parseRequest(bytes) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd === -1) return null;
  const [first, ...lines] = bytes
    .subarray(0, headEnd)
    .toString("latin1")
    .split("\r\n");
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const length = headEnd + 4 + Number(headers["content-length"] ?? 0);
  if (bytes.length < length) return null;
  const [method, path] = first.split(" ");
  const body = bytes.subarray(headEnd + 4, length);
  const id = headers["x-attempt-id"];
  return { length, request: { method, path, headers, body, id } };
}

/** Head lines that each answer of a replica has. */
export function sealed({ id }, seal) {
  return `X-Attempt-Id: ${id}\r\nX-Response-Seal: ${seal}\r\n`;
}

/** Status of a readiness address; 0 if it doesn't answer. */
export async function readiness(address) {
  try {
    const response = await fetch(`http://${address}/ready`);
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
}

export async function until(what, holds, timeoutMs = START_TIMEOUT_MS) {
  const endMs = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > endMs) throw new Error(`Timeout: ${what}`);
    await sleep(20);
  }
}

async function listen(server, host, port = 0) {
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
}

async function freePort(host) {
  const server = net.createServer();
  await listen(server, host);
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Program and arguments of a role in the deploy file. */
function runOf(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const [, command = ""] = /^run = "(.*)"$/m.exec(section) ?? [];
  return command.split(" ");
}

function render(role, fields) {
  const path = join(ROOT, "deploy", `${role}.json.template`);
  const template = readFileSync(path, "utf8");
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, name, json) => {
    const value = name.split(".").reduce((at, key) => at?.[key], fields);
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}

function parseLine(line) {
  try {
    return JSON.parse(line);
  } catch {
    return { event: "unreadable", line };
  }
}

/** The operator's configuration with the given routes. */
export function configurationOf(routes) {
  const engine = { slots: 64, kvCapacity: 500_000 };
  return {
    version: 1,
    routes,
    services: [
      { name: "desk-model", maxConns: 360, engine },
      { name: "desk-app", maxConns: 96 },
    ],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304 },
      ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      tokensPerS: 200_000,
    },
    tenants: [{ name: "porters", apiKeys: [KEY] }],
  };
}

/** A streaming route that may be resumed, like house-rules. */
export const RESUMABLE_ROUTE = {
  ...{ name: "house-rules", host: HOST, pathPrefix: "/rules/" },
  ...{ kind: "streaming", streamResume: true, service: "desk-model" },
  ...{ timeoutMs: 5_000, targetLatencyMs: 800, gapTargetMs: 800 },
  ...{ priority: 1, maxAttempts: 2, sessionAffinity: true },
};

/** A route whose requests may run once, like repair-ticket. */
export const TICKET_ROUTE = {
  ...{ name: "repair-ticket", host: HOST, pathPrefix: "/ticket/" },
  ...{ kind: "non_idempotent", service: "desk-app" },
  ...{ timeoutMs: 4_000, targetLatencyMs: 1_500 },
  ...{ priority: 2, maxAttempts: 1 },
};

/** Headers of a request, as an array of lines. */
export function requestHead({ method, path, id, deadlineMs, lines = [] }) {
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${id}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    `Authorization: Token ${KEY}`,
    ...lines,
    "",
    "",
  ].join("\r\n");
}

/** A consumer's channel; keeps every byte that it gets. */
export class Channel {
  received = Buffer.alloc(0);
  end = null;
  #socket;

  constructor(run, { host, port, name, quiet = false }) {
    this.name = name;
    this.opened = new Promise((resolve, reject) => {
      this.#socket = net.connect({ host, port, noDelay: true }, resolve);
      this.#socket.on("error", (error) => {
        this.end ??= error.code;
        reject(error);
      });
    });
    this.opened.catch(() => {});
    this.#socket.on("data", (chunk) => {
      this.received = Buffer.concat([this.received, chunk]);
    });
    this.#socket.on("end", () => {
      this.end ??= "closed";
      if (!quiet) run.log(`channel ${name} was closed by the router`);
    });
    this.#socket.on("close", () => {
      this.end ??= "closed";
    });
  }

  write(bytes) {
    this.#socket.write(bytes);
  }

  close() {
    this.#socket.destroy();
  }

  /**
   * Takes the first complete answer from what was received, as HTTP/1.1 frames
   * it; null if there is none.
   */
  takeAnswer() {
    const headEnd = this.received.indexOf("\r\n\r\n");
    if (headEnd === -1) return null;
    const head = this.received.subarray(0, headEnd).toString("latin1");
    const bodyStart = headEnd + 4;
    const [, length] = /^content-length: *(\d+)/im.exec(head) ?? [];
    const rest = this.received.subarray(bodyStart);
    let body = null;
    let consumed = 0;
    if (length !== undefined) {
      if (rest.length < Number(length)) return null;
      body = rest.subarray(0, Number(length));
      consumed = Number(length);
    } else if (/^transfer-encoding: *chunked/im.test(head)) {
      const decoded = decodeChunks(rest);
      if (decoded === null) return null;
      ({ body, consumed } = decoded);
    } else {
      if (this.end !== "closed") return null;
      body = rest;
      consumed = rest.length;
    }
    this.received = this.received.subarray(bodyStart + consumed);
    const status = Number(head.split(" ")[1]);
    const [, id = null] = /^x-attempt-id: *(\S+)/im.exec(head) ?? [];
    const [, seal = null] = /^x-response-seal: *(\S+)/im.exec(head) ?? [];
    const closes = /^connection: *close/im.test(head);
    return { status, id, seal, head, body: body.toString("latin1"), closes };
  }
}

function decodeChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf("\r\n", at);
    if (lineEnd === -1) return null;
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) return null;
    if (size === 0) return { body: Buffer.concat(parts), consumed: start + 2 };
    parts.push(bytes.subarray(start, start + size));
    at = start + size + 2;
  }
}

/** Header lines of a request to a model; requests share the first part. */
export function promptLines(number) {
  const shared = (0x5c1e0700 + (number % 61)).toString(16);
  const own = (0x1000000 + number).toString(16);
  return [
    ...["X-Model: m", "X-Token-Count: 400,120"],
    `X-Prefix-Hash: ${shared}:300,${own}:100`,
  ];
}

/**
 * Sends a request over a channel and waits for its answer; null if the channel
 * ended without a complete one, or if none came within the time limit and half
 * a second.
 */
export async function ask(channel, { id, path, deadlineMs, lines = [] }) {
  const body = JSON.stringify({ id });
  const head = requestHead({
    ...{ method: "POST", path, id, deadlineMs },
    lines: [...lines, `Content-Length: ${body.length}`],
  });
  channel.write(head + body);
  const endMs = performance.now() + deadlineMs + 500;
  for (;;) {
    const { end } = channel;
    const answer = channel.takeAnswer();
    if (answer !== null || end !== null) return answer;
    if (performance.now() > endMs) return null;
    await sleep(5);
  }
}

/** Calls `task` with 1 to `count`, `parallel` calls at a time. */
export async function repeat(count, parallel, task) {
  let last = 0;
  const work = async () => {
    while (last < count) {
      last += 1;
      await task(last);
    }
  };
  await Promise.all(Array.from({ length: parallel }, work));
}

/** One chunk of a body. */
export function chunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}
