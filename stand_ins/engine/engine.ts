/** A stand-in model engine with continuous batching and resumable answers. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, sendJson } from "../http.ts";
import { RunLog } from "../run_log.ts";
import { Job } from "./job.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Prompt tokens of a request that one step processes. */
const PREFILL_TOKENS_PER_STEP = 512;
const CACHE_CAPACITY_BLOCKS = 2_000;
/** Above so many jobs, the oldest ended one is dropped and can't be resumed. */
const MAX_KEPT_JOBS = 5_000;
const DEFAULT_MAX_TOKENS = 32;
/** A prompt that contains this text crashes the engine. */
const CRASH_MARKER = "CRASH-ENGINE";

/** Options of an engine. */
export interface EngineOptions {
  readonly stepMs: number;
  /** Requests that run in one batch. */
  readonly slots: number;
  /** Interval at which the load that `/health` answers is updated. */
  readonly loadLagMs: number;
  /** File of the run log, which outlives crashes; empty for none. */
  readonly logFile: string;
  /** Called when a request with the crash marker runs. */
  readonly crash: () => void;
}

/** Runs jobs in batched steps; after prefill, each step adds one token. */
export class Engine {
  readonly #options: EngineOptions;
  readonly #incarnation = randomUUID();
  readonly #log: RunLog;
  readonly #cache = new PrefixCache(CACHE_CAPACITY_BLOCKS);
  readonly #jobs = new Map<string, Job>();
  readonly #cancelledEarly = new Set<string>();
  #queue: Job[] = [];
  #batch: Job[] = [];
  /** The number of running requests after each change, with its time. */
  readonly #occupancy: [atMs: number, running: number][] = [];
  #timer: NodeJS.Timeout | null = null;
  #nextStepMs = 0;
  #reportedLoad = { running: 0, queued: 0 };

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#log = new RunLog(options.logFile);
    setInterval(() => this.#publishLoad(), options.loadLagMs).unref();
  }

  /** Handles one HTTP request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    response.setHeader("x-incarnation", this.#incarnation);
    const [, id, subpath] =
      /^\/v1\/requests\/([^/]+)(.*)$/.exec(url.pathname) ?? [];
    const requestId = decodeURIComponent(id ?? "");
    if (url.pathname === "/v1/chat/completions") {
      await this.#startJob(request, response);
    } else if (url.pathname === "/health") {
      sendJson(response, 200, this.#reportedLoad);
    } else if (url.pathname === "/executions") {
      sendJson(response, 200, this.#log.executions);
    } else if (url.pathname === "/occupancy") {
      sendJson(response, 200, this.#occupancy);
    } else if (subpath === "/answer") {
      this.#resume(requestId, Number(url.searchParams.get("offset")), response);
    } else if (id !== undefined && request.method === "DELETE") {
      this.#cancel(requestId);
      sendJson(response, 200, {});
    } else {
      sendJson(response, 404, { error: "Unknown path" });
    }
  }

  async #startJob(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const parsed = JSON.parse(body.toString("utf8"));
    const id = String(request.headers["x-request-id"] ?? randomUUID());
    if (this.#cancelledEarly.has(id)) {
      sendJson(response, 410, { error: "Request was cancelled" });
      return;
    }
    const prompt = JSON.stringify(parsed.messages);
    const job = new Job(
      {
        id,
        model: String(parsed.model),
        stream: parsed.stream === true,
        prompt,
        maxTokens: Number(parsed.max_tokens ?? DEFAULT_MAX_TOKENS),
        crash: prompt.includes(CRASH_MARKER),
      },
      this.#log.start(request, body),
      { cachedTokens: this.#cache.use(prompt) },
    );
    this.#jobs.set(id, job);
    this.#queue.push(job);
    this.#startStepping();
    this.#send(job, 0, response);
  }

  #resume(id: string, offset: number, response: ServerResponse): void {
    const job = this.#jobs.get(id);
    if (job === undefined) {
      sendJson(response, 404, { error: "Unknown request" });
      return;
    }
    this.#send(job, offset, response);
  }

  #cancel(id: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined) {
      this.#cancelledEarly.add(id);
      return;
    }
    job.cancelled = true;
    if (!job.ended) this.#finish(job);
  }

  /** Streams a job's answer from a byte offset on, as it is generated. */
  #send(job: Job, offset: number, response: ServerResponse): void {
    const type = job.request.stream ? "text/event-stream" : "application/json";
    response.writeHead(200, { "content-type": type });
    response.flushHeaders();
    let sent = offset;
    const push = () => {
      const answer = job.answer;
      if (answer.length > sent) response.write(answer.subarray(sent));
      sent = Math.max(sent, answer.length);
      if (!job.ended) return;
      if (job.cancelled) response.destroy();
      else response.end();
      stop();
    };
    const stop = job.subscribe(push);
    response.on("close", stop);
    push();
  }

  #startStepping(): void {
    if (this.#timer !== null) return;
    this.#nextStepMs = performance.now() + this.#options.stepMs;
    this.#schedule();
  }

  #schedule(): void {
    const waitMs = Math.max(0, this.#nextStepMs - performance.now());
    this.#timer = setTimeout(() => this.#tick(), waitMs);
  }

  /** Runs all steps that are due: timers may fire later than one step. */
  #tick(): void {
    this.#timer = null;
    while (performance.now() >= this.#nextStepMs) {
      this.#step();
      this.#nextStepMs += this.#options.stepMs;
      if (this.#batch.length + this.#queue.length === 0) return;
    }
    this.#schedule();
  }

  #step(): void {
    while (this.#batch.length < this.#options.slots) {
      const job = this.#queue.shift();
      if (job === undefined) break;
      this.#batch.push(job);
    }
    for (const job of [...this.#batch]) this.#advance(job);
    this.#recordOccupancy();
  }

  #recordOccupancy(): void {
    const running = this.#batch.length;
    if (this.#occupancy.at(-1)?.[1] === running) return;
    const atMs = performance.timeOrigin + performance.now();
    this.#occupancy.push([atMs, running]);
  }

  #advance(job: Job): void {
    if (job.request.crash) this.#options.crash();
    if (job.promptTokensLeft > 0) {
      job.promptTokensLeft -= PREFILL_TOKENS_PER_STEP;
      if (job.promptTokensLeft > 0) return;
    }
    job.generate();
    if (job.ended) this.#finish(job);
  }

  #finish(job: Job): void {
    this.#batch = this.#batch.filter((one) => one !== job);
    this.#queue = this.#queue.filter((one) => one !== job);
    this.#log.finish(job.execution);
    if (!job.ended) job.end();
    if (this.#jobs.size <= MAX_KEPT_JOBS) return;
    for (const [id, old] of this.#jobs) {
      if (!old.ended) continue;
      this.#jobs.delete(id);
      break;
    }
  }

  #publishLoad(): void {
    this.#reportedLoad = {
      running: this.#batch.length,
      queued: this.#queue.length,
    };
  }
}
