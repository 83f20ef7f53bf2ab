/** A model engine: continuous batching, resumable streams, a run log. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, sendJson } from "../http.ts";
import { RunLog } from "../run_log.ts";
import { Job } from "./job.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Prompt tokens that one step takes in. */
const PREFILL_TOKENS_PER_STEP = 512;
const CACHE_BLOCKS = 2_000;
/** Ended answers kept for resumes. */
const ENDED_LIMIT = 5_000;
const DEFAULT_MAX_TOKENS = 32;
/** Prompts with this text crash the engine. */
const CRASH_MARK = "CRASH-ENGINE";

/** How an engine behaves. */
export interface EngineOptions {
  readonly stepMs: number;
  readonly slots: number;
  readonly loadLagMs: number;
  /** File that keeps the run log over crashes; empty for none. */
  readonly logFile: string;
  /** Called by a request that crashes the engine. */
  readonly crash: () => void;
}

/** Runs jobs step by step. */
export class Engine {
  readonly #options: EngineOptions;
  readonly #incarnation = randomUUID();
  readonly #log: RunLog;
  readonly #cache = new PrefixCache(CACHE_BLOCKS);
  readonly #jobs = new Map<string, Job>();
  readonly #cancelledEarly = new Set<string>();
  #queue: Job[] = [];
  #batch: Job[] = [];
  /** Each change of the number of running requests, with its time. */
  readonly #occupancy: [atMs: number, running: number][] = [];
  #timer: NodeJS.Timeout | null = null;
  #nextStepMs = 0;
  #reportedLoad = { running: 0, queued: 0 };

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#log = new RunLog(options.logFile);
    setInterval(() => this.#report(), options.loadLagMs).unref();
  }

  /** Handles one HTTP request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    response.setHeader("x-incarnation", this.#incarnation);
    const [, id, rest] =
      /^\/v1\/requests\/([^/]+)(.*)$/.exec(url.pathname) ?? [];
    const name = decodeURIComponent(id ?? "");
    if (url.pathname === "/v1/chat/completions") {
      await this.#complete(request, response);
    } else if (url.pathname === "/health") {
      sendJson(response, 200, this.#reportedLoad);
    } else if (url.pathname === "/executions") {
      sendJson(response, 200, this.#log.executions);
    } else if (url.pathname === "/occupancy") {
      sendJson(response, 200, this.#occupancy);
    } else if (rest === "/answer") {
      this.#resume(name, Number(url.searchParams.get("offset")), response);
    } else if (id !== undefined && request.method === "DELETE") {
      this.#cancel(name);
      sendJson(response, 200, {});
    } else {
      sendJson(response, 404, { error: "Unknown path" });
    }
  }

  async #complete(
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
        crash: prompt.includes(CRASH_MARK),
      },
      this.#log.start(request, body),
      { cachedTokens: this.#cache.use(prompt) },
    );
    this.#jobs.set(id, job);
    this.#queue.push(job);
    this.#wake();
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

  /** Sends a job's answer from an offset on, as it grows. */
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
    const stop = job.listen(push);
    response.on("close", stop);
    push();
  }

  #wake(): void {
    if (this.#timer !== null) return;
    this.#nextStepMs = performance.now() + this.#options.stepMs;
    this.#schedule();
  }

  #schedule(): void {
    const waitMs = Math.max(0, this.#nextStepMs - performance.now());
    this.#timer = setTimeout(() => this.#tick(), waitMs);
  }

  /** Timers are coarse: takes as many steps as the time that has passed. */
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
    this.#note();
  }

  #note(): void {
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
    if (this.#jobs.size <= ENDED_LIMIT) return;
    for (const [id, old] of this.#jobs) {
      if (!old.ended) continue;
      this.#jobs.delete(id);
      break;
    }
  }

  #report(): void {
    this.#reportedLoad = {
      running: this.#batch.length,
      queued: this.#queue.length,
    };
  }
}
