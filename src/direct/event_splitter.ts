/** Splits an event stream so that only complete events are forwarded. */

const LINE_FEED = 0x0a;
const ID_LINE = /^id:\s?(.*)$/m;

/** How far a stream has come, over all servers that it comes from. */
export interface StreamProgress {
  /** Id of the last complete event that has one; null before the first. */
  lastId: string | null;
}

/** Returns complete events; buffers the bytes of a partial one. */
export class EventSplitter {
  readonly #progress: StreamProgress;
  #partial: Buffer = Buffer.alloc(0);

  constructor(progress: StreamProgress) {
    this.#progress = progress;
  }

  /** Whether a partial event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#partial.length > 0;
  }

  /** Adds bytes; returns the events that are complete now. */
  push(bytes: Buffer): Buffer {
    const all =
      this.#partial.length === 0
        ? bytes
        : Buffer.concat([this.#partial, bytes]);
    const end = endOfLastEvent(all);
    const complete = all.subarray(0, end);
    this.#partial = all.subarray(end);
    if (complete.length > 0)
      this.#progress.lastId = lastIdIn(complete) ?? this.#progress.lastId;
    return complete;
  }
}

function endOfLastEvent(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] !== LINE_FEED) continue;
    if (bytes[i - 1] === LINE_FEED) return i + 1;
    const isBlankCrLfLine = bytes[i - 1] === 0x0d && bytes[i - 2] === LINE_FEED;
    if (isBlankCrLfLine) return i + 1;
  }
  return 0;
}

function lastIdIn(events: Buffer): string | null {
  const start = events.lastIndexOf("\nid:");
  const text = events.subarray(Math.max(0, start)).toString("utf8");
  const [, id = null] = ID_LINE.exec(text) ?? [];
  return id === null ? null : id.trim();
}
