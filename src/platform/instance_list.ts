/** The platform's list of live and leaving instances. */

import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { messageOf } from "../common/error_message.ts";
import { Schema } from "../common/schema.ts";
import { sleep } from "../common/signal.ts";

/** Shortest time between two reads of the list. */
const SHORTEST_POLL_MS = 1_000;
/** Added per listed instance, so that reads of a fleet stay few. */
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

/** A list with the tag by which the platform knows it. */
interface TaggedList {
  readonly tag: string;
  readonly instances: readonly Instance[];
}

const NO_LIST: TaggedList = { tag: "", instances: [] };

/** Reads the list once. */
export async function read(
  platformUrl: string,
): Promise<Result<readonly Instance[], string>> {
  const list = await readChanged(platformUrl, NO_LIST);
  return list.map(({ instances }) => instances);
}

/** Reads the list if it is not the known one; a list that is not costs little. */
async function readChanged(
  platformUrl: string,
  known: TaggedList,
): Promise<Result<TaggedList, string>> {
  try {
    const response = await request(`${platformUrl}/v1/instances`, {
      headers: known.tag === "" ? {} : { "if-none-match": known.tag },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const body = await response.body.text();
    if (response.statusCode === 304) return ok(known);
    if (response.statusCode !== 200) {
      return err(`Instance list answered status ${response.statusCode}`);
    }
    const checked = schema.check(JSON.parse(body));
    if (checked.isErr()) return err("Instance list is not valid");
    const tag = String(response.headers.etag ?? "");
    return ok({ tag, instances: checked.value.instances });
  } catch (error) {
    return err(messageOf(error));
  }
}

/** Reads the list again and again; a failed read keeps the last one. */
export class InstanceList {
  readonly #platformUrl: string;
  readonly #stop = new AbortController();
  #list = NO_LIST;
  #calls = 0;

  constructor(platformUrl: string) {
    this.#platformUrl = platformUrl;
  }

  /** The list as last read. */
  get instances(): readonly Instance[] {
    return this.#list.instances;
  }

  /** Reads made since the start. */
  get calls(): number {
    return this.#calls;
  }

  /** Reads until `close`, calling `changed` after each read. */
  async run(changed: (list: readonly Instance[]) => void): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#calls += 1;
      const list = await readChanged(this.#platformUrl, this.#list);
      if (list.isOk()) {
        this.#list = list.value;
        changed(list.value.instances);
      }
      const jitter = 0.75 + Math.random() / 2;
      const sizeMs = this.instances.length * POLL_PER_INSTANCE_MS;
      const everyMs = Math.max(SHORTEST_POLL_MS, sizeMs);
      await sleep(everyMs * jitter, this.#stop.signal);
    }
  }

  /** Ends `run`. */
  close(): void {
    this.#stop.abort();
  }
}
