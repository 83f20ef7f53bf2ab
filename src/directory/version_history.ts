/** Software versions that the servers of each service have had. */

import type { Clock } from "../common/clock.ts";
import type { BackendServer } from "./backend_server.ts";
import type { DirectoryChange } from "./server_directory.ts";

/** Versions of one service. */
interface ServiceVersions {
  /** Version of each server that is known now, by id. */
  readonly byServer: Map<string, string>;
  /** When the last server of a version has left, in monotonic ms. */
  readonly leftAtMs: Map<string, number>;
}

/** A server's entry at some time before the history began. */
export type PastEntry = Pick<BackendServer, "service" | "version">;

/** Follows the changes of a directory from its start. */
export class VersionHistory {
  readonly #clock: Clock;
  /** All versions that were in service since then are known. */
  #completeSinceMs: number;
  readonly #services = new Map<string, ServiceVersions>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#completeSinceMs = clock.monotonicMs();
  }

  /** Records a change of the directory. */
  apply({ type, server }: DirectoryChange): void {
    const versions = this.#of(server.service);
    if (type === "left") {
      versions.byServer.delete(server.id);
      versions.leftAtMs.set(server.version, this.#clock.monotonicMs());
    } else {
      versions.byServer.set(server.id, server.version);
    }
  }

  /** Records that changes may have been missed: servers are listed anew. */
  restart(): void {
    this.#completeSinceMs = this.#clock.monotonicMs();
  }

  /** Records all entries that there ever were before the current ones. */
  complete(entries: readonly PastEntry[]): void {
    const nowMs = this.#clock.monotonicMs();
    for (const { service, version } of entries)
      this.#of(service).leftAtMs.set(version, nowMs);
    this.#completeSinceMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * The one version that all servers of a service have had for `forMs`; null if
   * there were several, or if the history doesn't reach back so far.
   */
  soleVersion(service: string, forMs: number): string | null {
    const sinceMs = this.#clock.monotonicMs() - forMs;
    const versions = this.#services.get(service);
    if (versions === undefined || this.#completeSinceMs > sinceMs) return null;
    const recent = new Set(versions.byServer.values());
    for (const [version, leftAtMs] of versions.leftAtMs) {
      if (leftAtMs >= sinceMs) recent.add(version);
    }
    const [only = null] = recent;
    return recent.size === 1 ? only : null;
  }

  #of(service: string): ServiceVersions {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const versions = { byServer: new Map(), leftAtMs: new Map() };
    this.#services.set(service, versions);
    return versions;
  }
}
