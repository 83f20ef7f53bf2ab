/** The platform's object API: versions, conditional writes and watches. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "../http.ts";
import type { Faults } from "./faults.ts";

const SIZE_LIMIT_BYTES = 1024 * 1024;

interface StoredObject {
  readonly version: number;
  readonly text: string;
  readonly previous: StoredObject | null;
}

/** Stores objects and handles the calls of the object API. */
export class ObjectApi {
  readonly #faults: Faults;
  readonly #objects = new Map<string, StoredObject>();
  readonly #watchers = new Map<string, Set<() => void>>();
  calls = 0;

  constructor(faults: Faults) {
    this.#faults = faults;
  }

  /** Handles one HTTP request: PUT, DELETE, watch or GET. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    this.calls += 1;
    const name = url.pathname;
    if (request.method === "PUT") await this.#put(name, request, response);
    else if (request.method === "DELETE") {
      this.#objects.delete(name);
      response.writeHead(200).end();
    } else if (url.searchParams.has("watch")) {
      await this.#watch(name, url, response);
    } else this.#get(name, response);
  }

  /** Returns what reads see: with the `stale` fault, the previous version. */
  #visibleObject(name: string): StoredObject | undefined {
    const stored = this.#objects.get(name);
    return this.#faults.stale ? (stored?.previous ?? stored) : stored;
  }

  #get(name: string, response: ServerResponse): void {
    const stored = this.#visibleObject(name);
    if (stored === undefined) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(200, { etag: `"${stored.version}"` });
    response.end(stored.text);
  }

  async #watch(
    name: string,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    const after = Number(url.searchParams.get("watch"));
    const timeoutMs = Number(url.searchParams.get("timeoutMs") ?? 0);
    const version = () => this.#visibleObject(name)?.version ?? 0;
    if (version() <= after && timeoutMs > 0) {
      await this.#waitForChange(name, timeoutMs, response);
    }
    if (version() === 0) response.writeHead(404).end();
    else if (version() <= after) {
      response.writeHead(304, { etag: `"${version()}"` }).end();
    } else this.#get(name, response);
  }

  async #waitForChange(
    name: string,
    timeoutMs: number,
    response: ServerResponse,
  ): Promise<void> {
    const watchers = this.#watchers.get(name) ?? new Set();
    this.#watchers.set(name, watchers);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      const wake = () => {
        clearTimeout(timer);
        watchers.delete(wake);
        resolve();
      };
      watchers.add(wake);
      response.on("close", wake);
    });
  }

  async #put(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = (await readBody(request)).toString("utf8");
    const stored = this.#objects.get(name);
    const expected = request.headers["if-match"];
    const create = request.headers["if-none-match"] === "*";
    const matches = create
      ? stored === undefined
      : expected === `"${stored?.version}"`;
    if (text.length > SIZE_LIMIT_BYTES) {
      response.writeHead(413).end();
      return;
    }
    if (!matches) {
      response.writeHead(412).end();
      return;
    }
    const version = (stored?.version ?? 0) + 1;
    const previous = stored === undefined ? null : { ...stored, before: null };
    this.#objects.set(name, { version, text, previous });
    for (const wake of [...(this.#watchers.get(name) ?? [])]) wake();
    const { loseAnswers, loseAnswersOf } = this.#faults;
    if (loseAnswers > 0 && name.startsWith(loseAnswersOf)) {
      this.#faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    response.writeHead(stored === undefined ? 201 : 200, {
      etag: `"${version}"`,
    });
    response.end();
  }
}
