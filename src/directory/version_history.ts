/** Software versions that the servers of each service have had. */

import type { Clock } from "../common/clock.ts";
import type { DirectoryChange } from "./server_directory.ts";

/** Versions of one service. */
interface ServiceVersions {
  /** Version of each server that is known now, by id. */
  readonly byServer: Map<string, string>;
  /** When the last server of a version has left, in monotonic ms. */
  readonly leftAtMs: Map<string, number>;
}

/** Follows the changes of a directory from its start. */
export class VersionHistory {
  readonly #clock: Clock;
  readonly #startedAtMs: number;
  readonly #services = new Map<string, ServiceVersions>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAtMs = clock.monotonicMs();
  }

  /** Records a change of the directory. */
  apply({ type, server }: DirectoryChange): void {
    const known = this.#services.get(server.service);
    const versions = known ?? { byServer: new Map(), leftAtMs: new Map() };
    this.#services.set(server.service, versions);
    if (type === "left") {
      versions.byServer.delete(server.id);
      versions.leftAtMs.set(server.version, this.#clock.monotonicMs());
    } else {
      versions.byServer.set(server.id, server.version);
    }
  }

  /**
   * The one version that all servers of a service have had for `forMs`; null if
   * there were several, or if the history doesn't reach back so far.
   */
  soleVersion(service: string, forMs: number): string | null {
    const sinceMs = this.#clock.monotonicMs() - forMs;
    const versions = this.#services.get(service);
    if (versions === undefined || this.#startedAtMs > sinceMs) return null;
    const recent = new Set(versions.byServer.values());
    for (const [version, leftAtMs] of versions.leftAtMs) {
      if (leftAtMs >= sinceMs) recent.add(version);
    }
    const [only = null] = recent;
    return recent.size === 1 ? only : null;
  }
}
