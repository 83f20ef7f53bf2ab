/**
 * Fetches new versions from the object store. Only a few processes per
 * availability zone watch the store; the others poll it rarely and normally get
 * new versions from their peers.
 */

import { logger } from "../common/log.ts";
import { sleep } from "../common/promises.ts";
import {
  describeStoreError,
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
/** Mean time between reads of a process that does not watch. */
const POLL_INTERVAL_MS = 30_000;
/** Interval at which a polling process checks if it has to watch. */
const ELECTION_INTERVAL_MS = 1_000;
const RETRY_DELAY_MS = 500;

/** The process in which a watcher runs, and its view of the fleet. */
export interface WatcherContext {
  readonly instance: string;
  readonly availabilityZone: string;
  /** The platform's instance list as last read. */
  instances(): readonly Instance[];
}

/** Keeps a process's configuration up to date with the store. */
export class ConfigurationWatcher {
  readonly #store: ObjectStore;
  readonly #active: ActiveConfiguration;
  readonly #context: WatcherContext;
  readonly #stop = new AbortController();

  constructor(
    store: ObjectStore,
    active: ActiveConfiguration,
    context: WatcherContext,
  ) {
    this.#store = store;
    this.#active = active;
    this.#context = context;
  }

  /** Watches or polls the store until `close` is called. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const ok = await this.#readStore(this.#isWatcher());
      if (!ok) await sleep(RETRY_DELAY_MS * (0.5 + Math.random()), signal);
      else if (!this.#isWatcher()) await this.#waitForNextPoll();
    }
  }

  /** Ends `run`. */
  close(): void {
    this.#stop.abort();
  }

  /** Waits until the next poll is due or this process has to watch. */
  async #waitForNextPoll(): Promise<void> {
    let leftMs = POLL_INTERVAL_MS * (0.5 + Math.random());
    while (leftMs > 0 && !this.#stop.signal.aborted) {
      await sleep(ELECTION_INTERVAL_MS, this.#stop.signal);
      leftMs -= ELECTION_INTERVAL_MS;
      if (this.#isWatcher()) return;
    }
  }

  #isWatcher(): boolean {
    const { instance, availabilityZone } = this.#context;
    const candidates = this.#context
      .instances()
      .filter((other) => other.state === "live")
      .filter((other) => other.availabilityZone === availabilityZone);
    return rank(candidates, "configuration-watch")
      .slice(0, WATCHERS_PER_ZONE)
      .some(({ name }) => name === instance);
  }

  async #adopt(version: number, record: ConfigurationRecord): Promise<boolean> {
    const { chunks } = this.#active;
    const fetched = await fetchChunks(this.#store, record, { chunks });
    if (fetched.isErr()) {
      log.debug(describeStoreError(fetched.error));
      return false;
    }
    const { names } = record;
    this.#active.adopt(version, { names });
    return this.#active.version >= version;
  }

  async #readStore(waitForChange: boolean): Promise<boolean> {
    const after = this.#active.version;
    const stored = await this.#store.watch(CONFIGURATION_OBJECT, {
      after,
      timeoutMs: waitForChange && after > 0 ? WATCH_TIMEOUT_MS : 0,
    });
    if (stored.isErr()) {
      log.debug(describeStoreError(stored.error));
      return false;
    }
    if (stored.value === null) return after > 0;
    const record = recordSchema.check(stored.value.value);
    if (record.isErr()) {
      log.error("The stored configuration record does not match its schema");
      return false;
    }
    return await this.#adopt(stored.value.version, record.value);
  }
}
