/** The part of a process's memory that one peer makes it hold. */

import type { HeldBytes } from "./held_bytes.ts";

/**
 * Progress below which a holding counts as stalled once memory is short: 4 KB in
 * a second. At that pace, a body of 4 MB takes 17 minutes, longer than any
 * route's timeout.
 */
const STALLED_MS = 1_000;
const PROGRESS_BYTES = 4_096;
/** Why a holding gives up its memory. */
export type YieldReason = "stalled" | "largest-group";

/** What a holding is for, as metrics name it. */
export type HoldingKind = "upload" | "connection" | "response";

/** What the holder of bytes tells about them. */
export interface HoldingOptions {
  readonly kind: HoldingKind;
  /** Who holds them at first: a team, the address of a caller, or a server. */
  readonly group: string;
  /**
   * Gives the bytes up when others need the memory; the holding is closed
   * already. Absent if that isn't possible.
   */
  readonly onYield?: (reason: YieldReason) => void;
}

/** The part of the memory that one body, connection or request holds. */
export class Holding {
  readonly options: HoldingOptions;
  #group: string;
  readonly #ledger: HeldBytes;
  bytes = 0;
  progressMs: number;
  #sinceProgressBytes = 0;
  /** Whether it may be told to yield now. */
  mayYield = true;

  constructor(ledger: HeldBytes, options: HoldingOptions) {
    this.#ledger = ledger;
    this.options = options;
    this.#group = options.group;
    this.progressMs = ledger.nowMs;
  }

  /** Takes memory up to a total; false if it is short and none yields. */
  grow(bytes: number): boolean {
    return this.#ledger.resize(this, bytes);
  }

  /** Who holds the bytes. */
  get group(): string {
    return this.#group;
  }

  /** Moves the bytes to another group. */
  moveTo(group: string): void {
    const { bytes } = this;
    this.measure(0);
    this.#group = group;
    this.measure(bytes);
  }

  /** Sets what is held already, also beyond the limit; see `relieve`. */
  measure(bytes: number): void {
    this.#ledger.measure(this, bytes);
  }

  /** Records bytes by which the peer has gone on. */
  advance(bytes: number): void {
    this.#sinceProgressBytes += bytes;
    if (this.#sinceProgressBytes >= PROGRESS_BYTES) this.restart();
  }

  /** Whether it has made too little progress of late. */
  get isStalled(): boolean {
    return this.progressMs <= this.#ledger.nowMs - STALLED_MS;
  }

  /** Records a new beginning, from which progress is due. */
  restart(): void {
    this.#sinceProgressBytes = 0;
    this.progressMs = this.#ledger.nowMs;
  }

  /** Frees the memory; may be called again. */
  close(): void {
    this.#ledger.remove(this);
  }
}
