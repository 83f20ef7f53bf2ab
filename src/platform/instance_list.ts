/** Polls the platform's list of live and leaving instances. */

import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { messageOf } from "../common/error_message.ts";
import { sleep } from "../common/promises.ts";
import { Schema } from "../common/schema.ts";

/** Minimum mean interval between two reads; jitter varies it by 25 %. */
const MIN_POLL_MS = 1_000;
/**
 * The interval grows with the number of instances, because every instance
 * polls: the whole fleet's read rate stays limited.
 */
const POLL_PER_INSTANCE_MS = 5;
const READ_TIMEOUT_MS = 2_000;

/** One instance as the platform lists it. */
export interface Instance {
  readonly name: string;
  readonly role: "router" | "side-process";
  /** Service of the backend server beside it; empty for a router. */
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly adminPort: number;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

const text = { type: "string" };
const schema = new Schema<{ instances: Instance[] }>({
  type: "object",
  required: ["instances"],
  properties: {
    instances: {
      type: "array",
      items: {
        type: "object",
        required: ["name", "role", "host", "port", "availabilityZone", "state"],
        properties: {
          name: text,
          role: { enum: ["router", "side-process"] },
          service: text,
          host: text,
          port: { type: "integer" },
          adminPort: { type: "integer" },
          availabilityZone: text,
          state: { enum: ["live", "leaving"] },
        },
      },
    },
  },
});

/** A list with its ETag; empty when there is none. */
interface TaggedList {
  readonly etag: string;
  readonly instances: readonly Instance[];
}

const NO_LIST: TaggedList = { etag: "", instances: [] };

/** Reads the list once. Returns the failure as text. */
export async function readInstances(
  platformUrl: string,
): Promise<Result<readonly Instance[], string>> {
  const list = await readIfChanged(platformUrl, NO_LIST);
  return list.map(({ instances }) => instances);
}

/**
 * Reads the list; returns `previous` when it has not changed. The ETag saves
 * sending a list that the caller already has.
 */
async function readIfChanged(
  platformUrl: string,
  previous: TaggedList,
): Promise<Result<TaggedList, string>> {
  try {
    const response = await request(`${platformUrl}/v1/instances`, {
      headers: previous.etag === "" ? {} : { "if-none-match": previous.etag },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const body = await response.body.text();
    if (response.statusCode === 304) return ok(previous);
    if (response.statusCode !== 200) {
      return err(
        `Instance list request failed with status ${response.statusCode}`,
      );
    }
    const checked = schema.check(JSON.parse(body));
    if (checked.isErr()) return err("Instance list is not valid");
    const etag = String(response.headers.etag ?? "");
    return ok({ etag, instances: checked.value.instances });
  } catch (error) {
    return err(messageOf(error));
  }
}

/** Polls the list; when a read fails, the last list is kept. */
export class InstanceList {
  readonly #platformUrl: string;
  readonly #stop = new AbortController();
  #list = NO_LIST;
  #calls = 0;

  constructor(platformUrl: string) {
    this.#platformUrl = platformUrl;
  }

  /** The last list read; empty before the first read. */
  get instances(): readonly Instance[] {
    return this.#list.instances;
  }

  /** Number of reads since the start. */
  get calls(): number {
    return this.#calls;
  }

  /** Polls until `close`; calls `onRead` after each successful read. */
  async run(onRead: (list: readonly Instance[]) => void): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#calls += 1;
      const list = await readIfChanged(this.#platformUrl, this.#list);
      if (list.isOk()) {
        this.#list = list.value;
        onRead(list.value.instances);
      }
      const jitter = 0.75 + Math.random() / 2;
      const fleetPollMs = this.instances.length * POLL_PER_INSTANCE_MS;
      const pollMs = Math.max(MIN_POLL_MS, fleetPollMs);
      await sleep(pollMs * jitter, this.#stop.signal);
    }
  }

  /** Ends `run`. */
  close(): void {
    this.#stop.abort();
  }
}
