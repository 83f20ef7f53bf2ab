/** Splits an event stream so that only complete events are forwarded. */

import type { HeldBuffer } from "../common/held_buffer.ts";
import type { ResponseHeaders } from "./dialect.ts";

/** Longest event of a stream; an event of a few tokens is under a kilobyte. */
export const EVENT_LIMIT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_BYTES = Buffer.alloc(0);
const ID_LINE = /^id:\s?(.*)$/m;

/** How far a stream has come, over all servers that it comes from. */
export interface StreamProgress {
  /** Id of the last event that was forwarded; null before the first. */
  lastId: string | null;
}

/** What can be forwarded of a stream. */
export interface ForwardableEvents {
  readonly bytes: Buffer;
  /** Id of the last of the events that has one; null if it isn't known. */
  readonly lastId: string | null;
}

/** Why a stream can't be read on. */
export type StreamFailure = "event-too-long" | "no-memory";

/** Finds where events end. */
export class EventTracker {
  #line: "empty" | "carriage-return" | "text" = "empty";
  #partialBytes = 0;

  /** Whether the stream is within an event. */
  get hasPartialEvent(): boolean {
    return this.#partialBytes > 0;
  }

  /** Why the stream can't be read on; null if it can. */
  get failure(): StreamFailure | null {
    return this.#partialBytes > EVENT_LIMIT_BYTES ? "event-too-long" : null;
  }

  /** Adds bytes; returns all of them. */
  push(bytes: Buffer): ForwardableEvents {
    this.endOfLastEvent(bytes);
    return { bytes, lastId: null };
  }

  /** Adds bytes; returns how many belong to complete events. */
  endOfLastEvent(bytes: Buffer): number {
    let end = 0;
    let lineStart = 0;
    for (;;) {
      const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
      if (lineEnd === -1) break;
      this.#extendLine(bytes, lineStart, lineEnd);
      if (this.#line !== "text") end = lineEnd + 1;
      this.#line = "empty";
      lineStart = lineEnd + 1;
    }
    this.#extendLine(bytes, lineStart, bytes.length);
    const carried = end === 0 ? this.#partialBytes : 0;
    this.#partialBytes = carried + bytes.length - end;
    return end;
  }

  #extendLine(bytes: Buffer, start: number, end: number): void {
    if (start === end) return;
    const isReturn = end - start === 1 && bytes[start] === CARRIAGE_RETURN;
    this.#line =
      this.#line === "empty" && isReturn ? "carriage-return" : "text";
  }
}

/** Returns complete events; buffers the bytes of a partial one. */
export class EventSplitter {
  readonly #tracker = new EventTracker();
  readonly #partial: HeldBuffer;
  #lacksMemory = false;

  /** @param partial empty buffer for `EVENT_LIMIT_BYTES` */
  constructor(partial: HeldBuffer) {
    this.#partial = partial;
  }

  /** Whether a partial event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#tracker.hasPartialEvent;
  }

  /** Why the stream can't be read on; null if it can. */
  get failure(): StreamFailure | null {
    return this.#lacksMemory ? "no-memory" : this.#tracker.failure;
  }

  /** Adds bytes; returns the events that are complete now. */
  push(bytes: Buffer): ForwardableEvents {
    const end = this.#tracker.endOfLastEvent(bytes);
    const complete =
      end === 0 ? NO_BYTES : this.#partial.take(bytes.subarray(0, end));
    if (end < bytes.length) {
      // The tracker reports an event that is over the limit.
      const appended = this.#partial.append(bytes.subarray(end));
      this.#lacksMemory = appended === "no-memory";
    }
    return { bytes: complete, lastId: lastIdIn(complete) };
  }

  /** Frees the partial event. */
  free(): void {
    this.#partial.free();
  }
}

/** Whether a response is an event stream, given that its route streams. */
export function isEventStream(
  status: number,
  headers: ResponseHeaders,
): boolean {
  if (status < 200 || status >= 300) return false;
  const type = headers["content-type"];
  return type === undefined || String(type).startsWith("text/event-stream");
}

function lastIdIn(events: Buffer): string | null {
  const start = events.lastIndexOf("\nid:");
  const text = events.subarray(Math.max(0, start)).toString("utf8");
  const [, id = null] = ID_LINE.exec(text) ?? [];
  return id === null ? null : id.trim();
}
