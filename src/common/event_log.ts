/**
 * Structured log: one JSON object per line on standard output.
 *
 * Lines are buffered and written in the background. When the reader is slow
 * or stopped, lines are counted and dropped; the process never blocks.
 */

import { write } from "node:fs";

/** Fields of a line besides time, level, part and event. */
export type Fields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Further lines of an event in the same second are counted and dropped. */
const MAX_LINES_PER_EVENT_PER_SECOND = 60;
/** Once the buffer exceeds this, lines are counted and dropped. */
const MAX_BUFFER_BYTES = 256 * 1024;
/** Time for which lines are collected into one write. */
const WRITE_INTERVAL_MS = 100;
const SECOND_MS = 1_000;
const STANDARD_OUTPUT = 1;
/** Wait before a write is retried when the reader is slow. */
const WRITE_RETRY_MS = 50;

interface LineCounts {
  written: number;
  dropped: number;
}

/** Writes text and then calls `done`; tests replace standard output by it. */
export type Sink = (text: string, done: (error: Error | null) => void) => void;

/** Structured log of one part of the system. */
export class EventLog {
  readonly #part: string;
  readonly #sink: Sink;
  readonly #countsByEvent = new Map<string, LineCounts>();
  #buffer = "";
  #droppedLines = 0;
  #writing = false;
  #secondStartMs = 0;
  #timer: NodeJS.Timeout | null = null;

  constructor(part: string, sink: Sink = writeToStandardOutput) {
    this.#part = part;
    this.#sink = sink;
  }

  /** Logs normal operation. */
  info(event: string, fields: Fields = {}): void {
    this.#line("info", event, fields);
  }

  /** Logs what an operator may have to look into. */
  warn(event: string, fields: Fields = {}): void {
    this.#line("warn", event, fields);
  }

  /** Logs an error. */
  error(event: string, fields: Fields = {}): void {
    this.#line("error", event, fields);
  }

  /** Logs free text as event `message`; all texts share one rate limit. */
  write(level: "debug" | "info" | "warn" | "error", message: string): void {
    this.#line(level, "message", { text: message });
  }

  /** Writes what is buffered; resolves once it is written or has failed. */
  async flush(): Promise<void> {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    this.#startSecond(Number.POSITIVE_INFINITY);
    if (this.#writing || this.#buffer === "") return;
    const text = this.#buffer;
    this.#buffer = "";
    await new Promise<void>((resolve) => this.#sink(text, () => resolve()));
  }

  #line(level: string, event: string, fields: Fields): void {
    const nowMs = Date.now();
    if (nowMs - this.#secondStartMs >= SECOND_MS) this.#startSecond(nowMs);
    const counts = this.#countsByEvent.get(event) ?? { written: 0, dropped: 0 };
    this.#countsByEvent.set(event, counts);
    if (counts.written >= MAX_LINES_PER_EVENT_PER_SECOND) {
      counts.dropped += 1;
      return;
    }
    counts.written += 1;
    this.#append({ at: nowMs, level, part: this.#part, event, ...fields });
  }

  /** Logs how many lines were dropped in the previous second. */
  #startSecond(nowMs: number): void {
    this.#secondStartMs = Number.isFinite(nowMs) ? nowMs : 0;
    for (const [event, { dropped }] of this.#countsByEvent) {
      if (dropped === 0) continue;
      const at = Date.now();
      const part = this.#part;
      const fields = { of: event, dropped };
      this.#append({
        at,
        level: "warn",
        part,
        event: "lines-dropped",
        ...fields,
      });
    }
    this.#countsByEvent.clear();
  }

  #append(line: Fields): void {
    if (this.#buffer.length > MAX_BUFFER_BYTES) {
      this.#droppedLines += 1;
      return;
    }
    if (this.#droppedLines > 0) {
      const common = { at: Date.now(), level: "warn", part: this.#part };
      const notice = {
        ...common,
        event: "reader-slow",
        dropped: this.#droppedLines,
      };
      this.#buffer += `${JSON.stringify(notice)}\n`;
      this.#droppedLines = 0;
    }
    this.#buffer += `${JSON.stringify(line)}\n`;
    this.#scheduleWrite(WRITE_INTERVAL_MS);
  }

  #scheduleWrite(afterMs: number): void {
    if (this.#timer !== null || this.#writing) return;
    this.#timer = setTimeout(() => this.#write(), afterMs);
    this.#timer.unref();
  }

  #write(): void {
    this.#timer = null;
    const text = this.#buffer;
    if (text === "") return;
    this.#buffer = "";
    this.#writing = true;
    this.#sink(text, (error) => {
      this.#writing = false;
      if (error !== null) this.#buffer = text + this.#buffer;
      if (this.#buffer !== "") {
        this.#scheduleWrite(
          error === null ? WRITE_INTERVAL_MS : WRITE_RETRY_MS,
        );
      }
    });
  }
}

/** Writes in the thread pool, so that a full pipe doesn't block the process. */
function writeToStandardOutput(
  text: string,
  done: (error: Error | null) => void,
): void {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number) => {
    write(STANDARD_OUTPUT, bytes, offset, (error, written) => {
      if (error?.code === "EAGAIN") {
        setTimeout(() => writeFrom(offset), WRITE_RETRY_MS).unref();
        return;
      }
      if (error !== null || offset + written >= bytes.length) {
        // Errors aren't reported, because the log would retry a closed output
        // forever.
        done(null);
        return;
      }
      writeFrom(offset + written);
    });
  };
  writeFrom(0);
}
