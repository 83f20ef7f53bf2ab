/** Brings new versions from the store; few processes watch at a time. */

import { logger } from "../common/log.ts";
import { sleep } from "../common/signal.ts";
import {
  describe,
  type Instance,
  type ObjectStore,
  rank,
} from "../platform/mod.ts";
import type { ActiveConfiguration } from "./active.ts";
import {
  CONFIGURATION_OBJECT,
  type ConfigurationRecord,
  recordSchema,
} from "./record.ts";
import { fetchChunks } from "./stored_document.ts";

const log = logger("configuration");

/** Processes per availability zone that watch the store. */
const WATCHERS_PER_ZONE = 2;
const WATCH_TIMEOUT_MS = 20_000;
/** Time between reads of a process that does not watch. */
const POLL_MS = 30_000;
/** How often a process checks whether it should watch. */
const ELECTION_MS = 1_000;
const RETRY_MS = 500;

/** What a watcher knows of its own process. */
export interface Watching {
  readonly instance: string;
  readonly availabilityZone: string;
  /** The platform's list as last read. */
  instances(): readonly Instance[];
}

/** The task that keeps a process's configuration up to date. */
export class ConfigurationWatcher {
  readonly #store: ObjectStore;
  readonly #active: ActiveConfiguration;
  readonly #watching: Watching;
  readonly #stop = new AbortController();

  constructor(
    store: ObjectStore,
    active: ActiveConfiguration,
    watching: Watching,
  ) {
    this.#store = store;
    this.#active = active;
    this.#watching = watching;
  }

  /** Watches or polls until `close`. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const ok = await this.#read(this.#isWatcher());
      if (!ok) await sleep(RETRY_MS * (0.5 + Math.random()), signal);
      else if (!this.#isWatcher()) await this.#idle();
    }
  }

  /** Ends `run`. */
  close(): void {
    this.#stop.abort();
  }

  /** Waits for the next poll, or until this process should watch. */
  async #idle(): Promise<void> {
    let leftMs = POLL_MS * (0.5 + Math.random());
    while (leftMs > 0 && !this.#stop.signal.aborted) {
      await sleep(ELECTION_MS, this.#stop.signal);
      leftMs -= ELECTION_MS;
      if (this.#isWatcher()) return;
    }
  }

  #isWatcher(): boolean {
    const { instance, availabilityZone } = this.#watching;
    const candidates = this.#watching
      .instances()
      .filter((one) => one.state === "live")
      .filter((one) => one.availabilityZone === availabilityZone);
    return rank(candidates, "configuration-watch")
      .slice(0, WATCHERS_PER_ZONE)
      .some(({ name }) => name === instance);
  }

  async #adopt(version: number, record: ConfigurationRecord): Promise<boolean> {
    const { chunks } = this.#active;
    const fetched = await fetchChunks(this.#store, record, { chunks });
    if (fetched.isErr()) {
      log.debug(describe(fetched.error));
      return false;
    }
    const { names } = record;
    this.#active.adopt(version, { names });
    return this.#active.version >= version;
  }

  async #read(watch: boolean): Promise<boolean> {
    const after = this.#active.version;
    const stored = await this.#store.watch(CONFIGURATION_OBJECT, {
      after,
      timeoutMs: watch && after > 0 ? WATCH_TIMEOUT_MS : 0,
    });
    if (stored.isErr()) {
      log.debug(describe(stored.error));
      return false;
    }
    if (stored.value === null) return after > 0;
    const record = recordSchema.check(stored.value.value);
    if (record.isErr()) {
      log.error("The stored configuration is not readable");
      return false;
    }
    return await this.#adopt(stored.value.version, record.value);
  }
}
