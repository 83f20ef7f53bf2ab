/** The side processes that a router knows, by service. */

import type { Instance } from "../platform/mod.ts";
import { SidePeer, type SidePeerParts } from "./side_peer.ts";
import { chooseSubset } from "./subset.ts";

/** Free shares that differ by less count as equal. */
const NEAR_TIE = 0.1;

/** Follows the instance list and keeps one peer per side process. */
export class Fleet {
  readonly #parts: SidePeerParts;
  readonly #peers = new Map<string, SidePeer>();

  constructor(parts: SidePeerParts) {
    this.#parts = parts;
  }

  /** Every peer. */
  get peers(): Iterable<SidePeer> {
    return this.#peers.values();
  }

  /** Attempts in progress at all peers. */
  get inProgress(): number {
    let count = 0;
    for (const peer of this.#peers.values()) count += peer.inProgress;
    return count;
  }

  /** Follows the instance list. */
  update(instances: readonly Instance[]): void {
    const { instance } = this.#parts.credentials.identity;
    const listed = new Map(
      chooseSubset(instances, instance).map((one) => [
        `${one.name}@${one.host}:${one.port}`,
        one,
      ]),
    );
    for (const [key, peer] of this.#peers) {
      // A lagging list must not cut off what is in progress.
      if (listed.has(key) || peer.inProgress > 0) continue;
      peer.close();
      this.#peers.delete(key);
    }
    for (const [key, instance] of listed) {
      const peer = this.#peers.get(key) ?? this.#add(key, instance);
      peer.setListedLeaving(instance.state === "leaving");
    }
  }

  /** Returns the peers of a service that can be sent new work. */
  usable(service: string): SidePeer[] {
    return [...this.#peers.values()].filter(
      (peer) => peer.instance.service === service && peer.usable,
    );
  }

  /** Returns the peer with most free slots, near ones first; null if none. */
  mostFree(service: string): SidePeer | null {
    const { availabilityZone } = this.#parts.credentials.identity;
    let best: SidePeer | null = null;
    let bestScore = 0;
    for (const peer of this.#peers.values()) {
      if (peer.instance.service !== service || peer.freeShare === 0) continue;
      const near = peer.instance.availabilityZone === availabilityZone;
      const score = peer.freeShare + (near ? NEAR_TIE : 0);
      if (score <= bestScore) continue;
      best = peer;
      bestScore = score;
    }
    return best;
  }

  /** Announces the configuration version to every peer. */
  announce(): void {
    for (const peer of this.#peers.values()) peer.announce();
  }

  /** Closes every connection. */
  close(): void {
    for (const peer of this.#peers.values()) peer.close();
  }

  #add(key: string, instance: Instance): SidePeer {
    const peer = new SidePeer(instance, this.#parts);
    this.#peers.set(key, peer);
    void peer.run();
    return peer;
  }
}
