/** A backend server as described by its registry entry. */

/** A draining server ends its running requests and accepts no new ones. */
export type ServerState = "ready" | "draining";

/** A running backend server; a restarted one counts as another. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** Version of its software. */
  readonly version: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly state: ServerState;
  /** Start time in Unix milliseconds; 0 if its entry has none. */
  readonly startedAtMs: number;
  /** Rest of the time for which it is cold, by its entry when it was read. */
  readonly coldForMs: number;
}

/** Key of one start of a server. */
export function startKeyOf({
  id,
  startedAtMs,
}: Pick<BackendServer, "id" | "startedAtMs">): string {
  return `${id} ${startedAtMs}`;
}

/** Whether two entries describe the same server without a restart between. */
export function isSameStart(a: BackendServer, b: BackendServer): boolean {
  return (
    a.id === b.id &&
    a.startedAtMs === b.startedAtMs &&
    a.host === b.host &&
    a.port === b.port &&
    a.service === b.service &&
    a.version === b.version
  );
}
