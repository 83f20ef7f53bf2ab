/** The side processes that a router connects to. */

import type { Instance } from "../platform/mod.ts";
import {
  SideProcessPeer,
  type SideProcessPeerDependencies,
} from "./side_process_peer.ts";
import { chooseSubset } from "./subset.ts";

/**
 * Free shares that differ by less than this count as equal: then a side process
 * in the router's own availability zone wins.
 */
const SAME_ZONE_BONUS = 0.1;

/** Follows the instance list and keeps one peer per side process. */
export class SideProcessPool {
  readonly #deps: SideProcessPeerDependencies;
  readonly #peers = new Map<string, SideProcessPeer>();

  constructor(deps: SideProcessPeerDependencies) {
    this.#deps = deps;
  }

  /** Every peer. */
  get peers(): Iterable<SideProcessPeer> {
    return this.#peers.values();
  }

  /** Attempts in progress at all peers. */
  get inProgress(): number {
    let count = 0;
    for (const peer of this.#peers.values()) count += peer.inProgress;
    return count;
  }

  /** Adds and removes peers after a change of the instance list. */
  update(instances: readonly Instance[]): void {
    const { instance } = this.#deps.credentials.identity;
    const listed = new Map(
      chooseSubset(instances, instance).map((one) => [
        `${one.name}@${one.host}:${one.port}`,
        one,
      ]),
    );
    for (const [key, peer] of this.#peers) {
      // The list may be out of date: don't cut off attempts in progress.
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
  usablePeers(service: string): SideProcessPeer[] {
    return [...this.#peers.values()].filter(
      (peer) => peer.instance.service === service && peer.usable,
    );
  }

  /**
   * Returns the peer with the largest share of free slots, preferring the
   * router's own availability zone; null if no slot is free.
   */
  leastLoadedPeer(service: string): SideProcessPeer | null {
    const { availabilityZone } = this.#deps.credentials.identity;
    let best: SideProcessPeer | null = null;
    let bestScore = 0;
    for (const peer of this.#peers.values()) {
      if (peer.instance.service !== service || peer.freeShare === 0) continue;
      const sameZone = peer.instance.availabilityZone === availabilityZone;
      const score = peer.freeShare + (sameZone ? SAME_ZONE_BONUS : 0);
      if (score <= bestScore) continue;
      best = peer;
      bestScore = score;
    }
    return best;
  }

  /** Announces the configuration version to every peer. */
  announceConfiguration(): void {
    for (const peer of this.#peers.values()) peer.announceConfiguration();
  }

  /** Closes every connection; attempts in progress are lost. */
  close(): void {
    for (const peer of this.#peers.values()) peer.close();
  }

  #add(key: string, instance: Instance): SideProcessPeer {
    const peer = new SideProcessPeer(instance, this.#deps);
    this.#peers.set(key, peer);
    void peer.run();
    return peer;
  }
}
