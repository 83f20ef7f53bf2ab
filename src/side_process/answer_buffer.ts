/** Keeps the part of an answer that the caller has not acknowledged. */

import type { Header } from "../protocol/mod.ts";

/** Unacknowledged bytes beyond which the backend server is not read. */
const ROOM_BYTES = 256 * 1024;

/** Status line and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A piece at its offset. */
export interface Piece {
  readonly offset: number;
  readonly bytes: Buffer;
}

/** Pieces in order, dropped as they are acknowledged. */
export class AnswerBuffer {
  head: AnswerHead | null = null;
  #pieces: Piece[] = [];
  #keepBytes = 0;
  #kept: Buffer[] = [];
  #endOffset = 0;
  #acknowledged = 0;
  #ended = false;
  #roomWaiters: (() => void)[] = [];

  /** Offset after the last byte. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Whether the answer is whole. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Whether the caller has all of it. */
  get delivered(): boolean {
    return this.#ended && this.#acknowledged >= this.#endOffset;
  }

  /** Keeps a copy of the whole answer, up to a size. */
  keep(limitBytes: number): void {
    this.#keepBytes = limitBytes;
  }

  /** The whole answer; null if it was longer than is kept. */
  get whole(): Buffer | null {
    if (this.#endOffset > this.#keepBytes) return null;
    return Buffer.concat(this.#kept);
  }

  /** Adds bytes and returns them as a piece. */
  append(bytes: Buffer): Piece {
    const piece = { offset: this.#endOffset, bytes };
    this.#pieces.push(piece);
    if (piece.offset + bytes.length <= this.#keepBytes) this.#kept.push(bytes);
    this.#endOffset += bytes.length;
    return piece;
  }

  /** Says that the answer is whole. */
  end(): void {
    this.#ended = true;
  }

  /** Drops what the caller has. */
  acknowledge(offset: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, offset);
    const kept = this.#pieces.findIndex(
      (piece) => piece.offset + piece.bytes.length > this.#acknowledged,
    );
    this.#pieces = kept === -1 ? [] : this.#pieces.slice(kept);
    this.#releaseRoom();
  }

  /** Returns the pieces from an offset on, or null if dropped already. */
  from(offset: number): Piece[] | null {
    if (offset < this.#acknowledged || offset > this.#endOffset) return null;
    return this.#pieces
      .filter((piece) => piece.offset + piece.bytes.length > offset)
      .map((piece) => cut(piece, offset));
  }

  /** Resolves once there is room to read on. */
  async room(): Promise<void> {
    while (this.#endOffset - this.#acknowledged > ROOM_BYTES) {
      await new Promise<void>((resolve) => this.#roomWaiters.push(resolve));
    }
  }

  /** Lets a reader that waits for room go on, as when nobody listens. */
  abandon(): void {
    this.acknowledge(Number.MAX_SAFE_INTEGER);
  }

  #releaseRoom(): void {
    const waiters = this.#roomWaiters;
    this.#roomWaiters = [];
    for (const resolve of waiters) resolve();
  }
}

function cut(piece: Piece, offset: number): Piece {
  if (piece.offset >= offset) return piece;
  return { offset, bytes: piece.bytes.subarray(offset - piece.offset) };
}
