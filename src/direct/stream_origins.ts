/**
 * Remembers where streams began, for callers that take them up again.
 *
 * A caller may come back at any router, also when the first one is gone. The
 * origin of a stream is therefore replicated to two admission controllers before
 * the server can respond; rendezvous hashing of the request id selects them.
 */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import { shortKey } from "../common/short_key.ts";
import type { ServerDirectory, VersionHistory } from "../directory/mod.ts";
import {
  isCompatible,
  ORIGIN_LIFETIME_MS,
  OriginMemory,
  type OriginRecord,
  packOrigin,
  type StreamOrigin,
} from "../origins/mod.ts";
import type { OriginAnswer } from "../protocol/mod.ts";
import { topRanked } from "../scheduling/mod.ts";
import {
  agreedRecord,
  type OriginHolder,
  OriginQueries,
} from "./origin_queries.ts";

/** Admission controllers that hold an origin: one may be lost. */
const COPIES = 2;
/**
 * Admission controllers that are asked: routers that don't reach the same ones
 * rank them differently.
 */
const QUERIED = 4;
/** Origins that are replicated again when an admission controller is lost. */
const REPLICATED_CAPACITY = 10_000;
/**
 * Time in which changes of admission controllers are handled together: after a
 * partition, all of them come back at once.
 */
const REPLICATION_DELAY_MS = 20;

/** Dependencies of `StreamOrigins`. */
export interface StreamOriginsDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly directory: ServerDirectory;
  readonly versions: VersionHistory;
  /** Admission controllers that are connected now. */
  readonly holders: () => readonly OriginHolder[];
}

/** An origin that this router has replicated. */
interface ReplicatedOrigin {
  readonly record: OriginRecord;
  readonly host: string;
  readonly notedAtMs: number;
  /** Hosts that hold this record. */
  readonly current: Set<string>;
  /** Hosts that have held any record of the request. */
  readonly everHeld: Set<string>;
}

/** The origins of streams, here and at admission controllers. */
export class StreamOrigins {
  readonly #deps: StreamOriginsDependencies;
  readonly #memory: OriginMemory;
  /** By request, the oldest first. */
  readonly #replicated = new Map<string, ReplicatedOrigin>();
  readonly #queries = new OriginQueries();
  readonly #changedHolders = new Set<string>();
  #replicationTimer: NodeJS.Timeout | null = null;

  constructor(deps: StreamOriginsDependencies) {
    this.#deps = deps;
    this.#memory = new OriginMemory(deps.clock);
  }

  /** Records that a request without an event so far is sent to a server. */
  noteSend(id: string, origin: StreamOrigin): void {
    const request = shortKey(id);
    const known = this.#memory.find(request);
    if (known?.type === "known" && isCompatible(known.origin, origin)) return;
    const record: OriginRecord =
      known === null ? { type: "known", origin } : { type: "ambiguous" };
    this.#note(request, record, origin.server);
  }

  /** Records that the first event of a request's stream is forwarded. */
  noteBeginning(id: string, origin: StreamOrigin): void {
    const request = shortKey(id);
    const known = this.#memory.find(request);
    if (known?.type === "known" && isCompatible(known.origin, origin)) return;
    this.#note(request, { type: "known", origin }, origin.server);
  }

  /**
   * Returns where a request's stream began; null if that isn't certain.
   *
   * @param unremembered where it began if neither this router nor an admission
   * controller remembers it
   */
  async find(
    id: string,
    unremembered: () => StreamOrigin | null = () => null,
  ): Promise<StreamOrigin | null> {
    const request = shortKey(id);
    const own = this.#memory.find(request);
    const record = own ?? (await this.#query(request));
    const origin = this.#originIn(record, unremembered);
    this.#deps.events.info("stream-origin", {
      ...{ request: id, found: sourceOf(own, record) },
      state: record?.type ?? "unknown",
      ...{ certain: origin !== null, version: origin?.version ?? null },
    });
    return origin;
  }

  /**
   * Where a stream of the last `forMs` must have begun if nobody remembers it, or
   * its caller doesn't name it; null if the service may have had several versions.
   */
  soleOrigin(service: string, forMs: number): StreamOrigin | null {
    const { directory, versions } = this.#deps;
    if (!directory.isCurrent) return null;
    const version = versions.soleVersion(service, forMs);
    if (version === null) return null;
    return { service, version, server: "" };
  }

  /**
   * Whether the server's entry was right when the stream began. A server may
   * start again under its id with other software before its entry says so.
   */
  isCertain({ server, version }: StreamOrigin): boolean {
    const entry = this.#deps.directory.get(server);
    return entry === null || entry.version === version;
  }

  /**
   * Version that a request must keep to that was sent but has no event; null if
   * it may be sent to any. Holders know the version that it was
   * sent to first, so all of them must confirm that this isn't certain any more.
   */
  async boundVersion(id: string): Promise<string | null> {
    const request = shortKey(id);
    const record = this.#memory.find(request);
    if (record?.type !== "known") return null;
    const { server, service, version } = record.origin;
    if (this.#deps.versions.soleVersion(service, 0) === version) return version;
    const replicated = this.#replicated.get(request);
    if (replicated === undefined) return version;
    const { everHeld } = replicated;
    this.#note(request, { type: "ambiguous" }, server);
    const holders = this.#deps.holders().filter(({ id }) => everHeld.has(id));
    const answers = await this.#queries.ask(request, holders);
    const isReleased =
      answers.length === everHeld.size &&
      answers.every((answer) => answer?.type === "ambiguous");
    if (isReleased) return null;
    this.#note(request, record, server);
    return version;
  }

  /** Records that a response is complete: nobody takes its stream up. */
  noteEnd(id: string): void {
    this.#replicated.delete(shortKey(id));
  }

  /** Handles an admission controller's answer. */
  receive(answer: OriginAnswer): void {
    this.#queries.receive(answer);
  }

  /** Replicates origins again once a holder is lost or comes back. */
  handleHolderChange(host: string): void {
    this.#changedHolders.add(host);
    this.#replicationTimer ??= setTimeout(
      () => this.#replicateAgain(),
      REPLICATION_DELAY_MS,
    );
    this.#replicationTimer.unref();
  }

  #originIn(
    record: OriginRecord | null,
    unremembered: () => StreamOrigin | null,
  ): StreamOrigin | null {
    if (record === null) return unremembered();
    if (record.type === "ambiguous") return null;
    return this.isCertain(record.origin) ? record.origin : null;
  }

  #replicateAgain(): void {
    this.#replicationTimer = null;
    const holders = this.#deps.holders();
    for (const [request, replicated] of this.#replicated) {
      // One that has restarted remembers nothing.
      for (const host of this.#changedHolders) replicated.current.delete(host);
      this.#replicate(request, replicated, holders);
    }
    this.#changedHolders.clear();
  }

  #note(request: string, record: OriginRecord, server: string): void {
    this.#memory.note(request, record);
    const host = this.#deps.directory.get(server)?.host ?? "";
    const notedAtMs = this.#deps.clock.monotonicMs();
    const everHeld =
      this.#replicated.get(request)?.everHeld ?? new Set<string>();
    const current = new Set<string>();
    const replicated = { record, host, notedAtMs, current, everHeld };
    this.#replicated.delete(request);
    this.#replicated.set(request, replicated);
    this.#forgetOldest(notedAtMs - ORIGIN_LIFETIME_MS);
    this.#replicate(request, replicated, this.#deps.holders());
  }

  #forgetOldest(beforeMs: number): void {
    for (const [request, { notedAtMs }] of this.#replicated) {
      if (notedAtMs >= beforeMs && this.#replicated.size <= REPLICATED_CAPACITY)
        return;
      this.#replicated.delete(request);
    }
  }

  #replicate(
    request: string,
    { record, host, current, everHeld }: ReplicatedOrigin,
    holders: readonly OriginHolder[],
  ): void {
    // The stream breaks with the server's host, and its controller is lost too.
    const others = holders.filter(({ id }) => id !== host);
    const candidates = others.length > 0 ? others : holders;
    const chosen = topRanked(request, candidates, COPIES);
    const outdated = holders.filter(({ id }) => everHeld.has(id));
    for (const holder of new Set([...chosen, ...outdated])) {
      if (current.has(holder.id)) continue;
      current.add(holder.id);
      everHeld.add(holder.id);
      holder.send({ type: "stream-origin", request, ...packOrigin(record) });
    }
  }

  /** Finds the record at admission controllers; null if they know none. */
  async #query(request: string): Promise<OriginRecord | null> {
    const holders = topRanked(request, this.#deps.holders(), QUERIED);
    return agreedRecord(await this.#queries.ask(request, holders));
  }
}

/** Who knows how a stream began; `entries`: its service had one version only. */
function sourceOf(
  own: OriginRecord | null,
  found: OriginRecord | null,
): "here" | "admission" | "entries" {
  if (own !== null) return "here";
  return found === null ? "entries" : "admission";
}
