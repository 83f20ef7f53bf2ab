/** A stand-in metadata store with the platform's list and watch protocol. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, sendJson } from "../http.ts";

interface StoredObject {
  readonly metadata: { readonly name: string; readonly rev: number };
  readonly spec: unknown;
}

interface ChangeEvent {
  readonly kind: string;
  readonly revision: number;
  readonly deleted: boolean;
  readonly object: StoredObject;
}

/** How the store answers: normally, with 503, or never. */
export type ResponseMode = "serving" | "refusing" | "silent";

/** Objects and revision of a store at one moment. */
export interface StoreCopy {
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly revision: number;
}

/** Objects by kind and name, with a history of changes for watches. */
export class Store {
  responseMode: ResponseMode = "serving";
  /** Most objects in one page of a list. */
  pageSize = 500;
  /** Whether watches are told of the changes that are made now. */
  isReportingChanges = true;
  /** Writes a response's body. */
  encode: (value: unknown) => string = JSON.stringify;
  /** Calls that were received, answered or not. */
  calls = 0;
  readonly #kinds = new Map<string, Map<string, StoredObject>>();
  #history: ChangeEvent[] = [];
  #compactedRevision = 0;
  #revision = 1;
  /** Rises by one each time that the store comes back from a copy. */
  #era = 1;
  readonly #watchers = new Set<() => void>();

  /** Creates or replaces an object. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const metadata = { name, rev: this.#revision };
    const object = { metadata, spec };
    this.#of(kind).set(name, object);
    this.#append({ kind, revision: this.#revision, deleted: false, object });
  }

  /** Removes an object, if it exists. */
  remove(kind: string, name: string): void {
    const object = this.#of(kind).get(name);
    if (object === undefined) return;
    this.#revision += 1;
    this.#of(kind).delete(name);
    this.#append({ kind, revision: this.#revision, deleted: true, object });
  }

  /** Compacts the history: watches from an older revision are answered 410. */
  compactHistory(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
    this.#revision += 1;
    this.#wakeWatchers();
  }

  /** Returns a copy to restore later. */
  copy(): StoreCopy {
    const kinds = new Map(
      [...this.#kinds].map(([kind, objects]) => [kind, new Map(objects)]),
    );
    return { kinds, revision: this.#revision };
  }

  /**
   * Comes back from a copy: what was written since is lost, and its revisions
   * are given out again. Watches that wait are cut off.
   */
  restore({ kinds, revision }: StoreCopy): void {
    this.#kinds.clear();
    for (const [kind, objects] of kinds)
      this.#kinds.set(kind, new Map(objects));
    this.#history = this.#history.filter((one) => one.revision <= revision);
    this.#revision = revision;
    this.#era += 1;
    this.#wakeWatchers();
  }

  /** Handles a list or watch call. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    this.calls += 1;
    await readBody(request);
    if (this.responseMode === "silent") return;
    response.setHeader("Store-Era", this.#era);
    if (this.responseMode === "refusing") {
      sendJson(response, 503, {});
      return;
    }
    const [, , kind = ""] = url.pathname.split("/");
    const watch = url.searchParams.get("watch");
    if (watch === null) this.#list(response, kind, url);
    else await this.#watch(response, kind, url);
  }

  #list(response: ServerResponse, kind: string, url: URL): void {
    const after = url.searchParams.get("after") ?? "";
    const rest = [...this.#of(kind).values()]
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1))
      .filter(({ metadata }) => metadata.name > after);
    this.#send(response, {
      items: rest.slice(0, this.pageSize),
      hasMore: rest.length > this.pageSize,
      currentRev: this.#revision,
    });
  }

  async #watch(
    response: ServerResponse,
    kind: string,
    url: URL,
  ): Promise<void> {
    const from = Number(url.searchParams.get("watch"));
    const waitMs = Number(url.searchParams.get("waitMs"));
    const find = () =>
      this.#history.filter((one) => one.kind === kind && one.revision > from);
    const era = this.#era;
    const isKept = from > this.#compactedRevision && from <= this.#revision;
    if (isKept && find().length === 0) await this.#waitForChange(waitMs);
    if (this.#era !== era) {
      response.destroy();
      return;
    }
    if (!isKept || from <= this.#compactedRevision) {
      sendJson(response, 410, {});
      return;
    }
    const events = find().map(({ object, deleted }) => ({ object, deleted }));
    this.#send(response, { events, currentRev: this.#revision });
  }

  #send(response: ServerResponse, value: unknown): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(this.encode(value));
  }

  async #waitForChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#watchers.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #append(event: ChangeEvent): void {
    if (!this.isReportingChanges) return;
    this.#history.push(event);
    this.#wakeWatchers();
  }

  #wakeWatchers(): void {
    for (const wake of this.#watchers) wake();
    this.#watchers.clear();
  }

  #of(kind: string): Map<string, StoredObject> {
    const known = this.#kinds.get(kind);
    if (known !== undefined) return known;
    const entries = new Map<string, StoredObject>();
    this.#kinds.set(kind, entries);
    return entries;
  }
}
