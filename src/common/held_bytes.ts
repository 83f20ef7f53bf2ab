/** Bounds the memory that a process holds for peers that it doesn't control. */

import type { Clock } from "./clock.ts";
import {
  Holding,
  type HoldingKind,
  type HoldingOptions,
  type YieldReason,
} from "./holding.ts";

/**
 * Share of the limit up to which larger holdings may fill it, so that whole
 * bodies that wait for their servers leave room for ordinary requests.
 */
const LARGE_SHARE = 0.75;
const SMALL_BYTES = 64 * 1_024;

/** The limit and the events of a ledger. */
export interface HeldBytesOptions {
  readonly limitBytes: number;
  readonly onYield?: (kind: HoldingKind, reason: YieldReason) => void;
  readonly onRefusal?: (kind: HoldingKind) => void;
}

/** Counts what is held and decides who yields when the limit is reached. */
export class HeldBytes {
  readonly #clock: Clock;
  readonly #options: HeldBytesOptions;
  readonly #holdings = new Set<Holding>();
  readonly #bytesByGroup = new Map<string, number>();
  #totalBytes = 0;

  constructor(clock: Clock, options: HeldBytesOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  /** Bytes that are held now. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Bytes that may be held. */
  get limitBytes(): number {
    return this.#options.limitBytes;
  }

  /** Monotonic time in milliseconds. */
  get nowMs(): number {
    return this.#clock.monotonicMs();
  }

  /** Opens a holding of no bytes; close it in any case. */
  open(options: HoldingOptions): Holding {
    const holding = new Holding(this, options);
    this.#holdings.add(holding);
    return holding;
  }

  /** See `Holding.grow`. */
  resize(holding: Holding, bytes: number): boolean {
    if (!this.#holdings.has(holding)) return false;
    const neededBytes = bytes - holding.bytes;
    if (neededBytes > 0 && !this.#makeRoom(holding, neededBytes)) {
      this.#options.onRefusal?.(holding.options.kind);
      return false;
    }
    this.#set(holding, bytes);
    return true;
  }

  /** See `Holding.measure`. */
  measure(holding: Holding, bytes: number): void {
    this.#set(holding, bytes);
  }

  /** Makes holdings yield if more is held than may be. */
  relieve(): void {
    this.#makeRoom(null, 0);
  }

  /** See `Holding.close`. */
  remove(holding: Holding): void {
    this.#set(holding, 0);
    this.#holdings.delete(holding);
  }

  #set(holding: Holding, bytes: number): void {
    if (!this.#holdings.has(holding)) return;
    const { group } = holding;
    const change = bytes - holding.bytes;
    holding.bytes = bytes;
    this.#totalBytes += change;
    const groupBytes = this.#bytesOf(group) + change;
    if (groupBytes === 0) this.#bytesByGroup.delete(group);
    else this.#bytesByGroup.set(group, groupBytes);
  }

  #bytesOf(group: string): number {
    return this.#bytesByGroup.get(group) ?? 0;
  }

  /** Makes others yield until there is room; false if there isn't. */
  #makeRoom(requester: Holding | null, neededBytes: number): boolean {
    const isLarge = (requester?.bytes ?? 0) + neededBytes > SMALL_BYTES;
    const limitBytes = this.limitBytes * (isLarge ? LARGE_SHARE : 1);
    const fits = () => this.#totalBytes + neededBytes <= limitBytes;
    if (fits()) return true;
    for (const stalled of this.#findStalled(requester)) {
      this.#yield(stalled, "stalled");
      if (fits()) return true;
    }
    for (;;) {
      const victim = this.#findOfLargestGroup(requester, neededBytes);
      if (victim === null) return false;
      this.#yield(victim, "largest-group");
      if (fits()) return true;
    }
  }

  /** Holdings that make no progress, those with the most bytes first. */
  #findStalled(requester: Holding | null): Holding[] {
    return [...this.#holdings]
      .filter((holding) => holding !== requester && canYield(holding))
      .filter(({ isStalled }) => isStalled)
      .sort((a, b) => b.bytes - a.bytes);
  }

  /**
   * The holding that was opened last in the group with the most bytes, so that
   * the earlier ones of the group come to their end. A requester takes no memory
   * from groups that would have less than its own.
   */
  #findOfLargestGroup(
    requester: Holding | null,
    neededBytes: number,
  ): Holding | null {
    const ownGroup = requester?.group ?? null;
    const ownBytes = ownGroup === null ? 0 : this.#bytesOf(ownGroup);
    let isLaterThanRequester = requester === null;
    let found: Holding | null = null;
    let foundBytes = 0;
    // Holdings are in the order in which they were opened.
    for (const holding of this.#holdings) {
      if (holding === requester) isLaterThanRequester = true;
      if (holding === requester || !canYield(holding)) continue;
      const { group } = holding;
      const bytes = this.#bytesOf(group);
      const mayTake =
        group === ownGroup
          ? isLaterThanRequester
          : bytes > ownBytes + neededBytes;
      if (!mayTake || bytes < foundBytes) continue;
      found = holding;
      foundBytes = bytes;
    }
    return found;
  }

  #yield(holding: Holding, reason: YieldReason): void {
    const { kind, onYield } = holding.options;
    this.remove(holding);
    this.#options.onYield?.(kind, reason);
    onYield?.(reason);
  }
}

function canYield({ mayYield, bytes, options }: Holding): boolean {
  return mayYield && bytes > 0 && options.onYield !== undefined;
}
