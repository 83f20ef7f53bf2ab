/**
 * Remembers where streams began, for callers that take them up again.
 *
 * A caller may come back at any router, also when the first one is gone. Each
 * beginning is therefore told to two admission controllers before the server
 * can respond; any router finds them by rendezvous hashing of the request id.
 */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
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
import { rankOnce } from "../scheduling/mod.ts";
import {
  agreedRecord,
  type OriginKeeper,
  OriginQueries,
} from "./origin_queries.ts";

/** Admission controllers that are told of a stream: one may be lost. */
const COPIES = 2;
/**
 * Admission controllers that are asked: routers that don't reach the same ones
 * rank them differently.
 */
const QUERIED = 4;
/** Streams that are told again when an admission controller is lost. */
const TOLD_CAPACITY = 10_000;
/**
 * Time in which changes of admission controllers are handled together: after a
 * partition, all of them come back at once.
 */
const RETELL_DELAY_MS = 20;

/** Dependencies of `StreamOrigins`. */
export interface StreamOriginsDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly directory: ServerDirectory;
  readonly versions: VersionHistory;
  /** Admission controllers that are connected now. */
  readonly keepers: () => readonly OriginKeeper[];
}

/** A beginning that this router has told admission controllers of. */
interface ToldOrigin {
  readonly record: OriginRecord;
  readonly host: string;
  readonly toldAtMs: number;
  /** Those that have this record. */
  readonly keepers: Set<string>;
  /** Those that have been told of the request at any time. */
  readonly informed: Set<string>;
}

/** The origins of streams, here and at admission controllers. */
export class StreamOrigins {
  readonly #deps: StreamOriginsDependencies;
  readonly #memory: OriginMemory;
  /** By request, the oldest first. */
  readonly #told = new Map<string, ToldOrigin>();
  readonly #queries = new OriginQueries();
  readonly #changedKeepers = new Set<string>();
  #retellTimer: NodeJS.Timeout | null = null;

  constructor(deps: StreamOriginsDependencies) {
    this.#deps = deps;
    this.#memory = new OriginMemory(deps.clock);
  }

  /** Records that a request without an event so far is sent to a server. */
  noteSend(request: string, origin: StreamOrigin): void {
    const known = this.#memory.find(request);
    if (known?.type === "known" && isCompatible(known.origin, origin)) return;
    const record: OriginRecord =
      known === null ? { type: "known", origin } : { type: "ambiguous" };
    this.#note(request, record, origin.server);
  }

  /** Records that the first event of a request's stream is forwarded. */
  noteBeginning(request: string, origin: StreamOrigin): void {
    const known = this.#memory.find(request);
    if (known?.type === "known" && isCompatible(known.origin, origin)) return;
    this.#note(request, { type: "known", origin }, origin.server);
  }

  /** Returns where a request's stream began; null if that isn't certain. */
  async find(request: string): Promise<StreamOrigin | null> {
    const own = this.#memory.find(request);
    const record = own ?? (await this.#query(request));
    const isKnown = record?.type === "known";
    const origin =
      isKnown && this.isCertain(record.origin) ? record.origin : null;
    this.#deps.events.info("stream-origin", {
      ...{ request, found: own === null ? "admission" : "here" },
      state: record?.type ?? "unknown",
      ...{ certain: origin !== null, version: origin?.version ?? null },
    });
    return origin;
  }

  /**
   * Where a stream of the last `forMs` must have begun, for callers that don't
   * say; null if the service had several versions.
   */
  soleOrigin(service: string, forMs: number): StreamOrigin | null {
    const { directory, versions } = this.#deps;
    if (!directory.isCurrent) return null;
    const version = versions.soleVersion(service, forMs);
    if (version === null) return null;
    return { service, version, server: "", startedAtMs: 0 };
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
   * it may be sent to any. Others have been told of the version that it was
   * sent to first, so all of them must confirm that this isn't certain any more.
   */
  async boundVersion(request: string): Promise<string | null> {
    const record = this.#memory.find(request);
    if (record?.type !== "known") return null;
    const { server, service, version } = record.origin;
    if (this.#deps.versions.soleVersion(service, 0) === version) return version;
    const told = this.#told.get(request);
    if (told === undefined) return version;
    const { informed } = told;
    this.#note(request, { type: "ambiguous" }, server);
    const keepers = this.#deps.keepers().filter(({ id }) => informed.has(id));
    const answers = await this.#queries.ask(request, keepers);
    const isReleased =
      answers.length === informed.size &&
      answers.every((answer) => answer?.type === "ambiguous");
    if (isReleased) return null;
    this.#note(request, record, server);
    return version;
  }

  /** Records that a response is complete: nobody takes its stream up. */
  noteEnd(request: string): void {
    this.#told.delete(request);
  }

  /** Handles an admission controller's answer. */
  receive(answer: OriginAnswer): void {
    this.#queries.receive(answer);
  }

  /** Tells others once an admission controller is lost or comes back. */
  handleKeeperChange(host: string): void {
    this.#changedKeepers.add(host);
    this.#retellTimer ??= setTimeout(() => this.#retell(), RETELL_DELAY_MS);
    this.#retellTimer.unref();
  }

  #retell(): void {
    this.#retellTimer = null;
    const keepers = this.#deps.keepers();
    for (const [request, told] of this.#told) {
      // One that has restarted remembers nothing.
      for (const host of this.#changedKeepers) told.keepers.delete(host);
      this.#tell(request, told, keepers);
    }
    this.#changedKeepers.clear();
  }

  #note(request: string, record: OriginRecord, server: string): void {
    this.#memory.note(request, record);
    const host = this.#deps.directory.get(server)?.host ?? "";
    const toldAtMs = this.#deps.clock.monotonicMs();
    const informed = this.#told.get(request)?.informed ?? new Set<string>();
    const keepers = new Set<string>();
    const told = { record, host, toldAtMs, keepers, informed };
    this.#told.delete(request);
    this.#told.set(request, told);
    this.#forgetOldest(toldAtMs - ORIGIN_LIFETIME_MS);
    this.#tell(request, told, this.#deps.keepers());
  }

  #forgetOldest(beforeMs: number): void {
    for (const [request, { toldAtMs }] of this.#told) {
      if (toldAtMs >= beforeMs && this.#told.size <= TOLD_CAPACITY) return;
      this.#told.delete(request);
    }
  }

  #tell(
    request: string,
    { record, host, keepers: holders, informed }: ToldOrigin,
    keepers: readonly OriginKeeper[],
  ): void {
    // The stream breaks with the server's host, and its controller is lost too.
    const others = keepers.filter(({ id }) => id !== host);
    const candidates = others.length > 0 ? others : keepers;
    const chosen = rankOnce(request, candidates).slice(0, COPIES);
    const outdated = keepers.filter(({ id }) => informed.has(id));
    for (const keeper of new Set([...chosen, ...outdated])) {
      if (holders.has(keeper.id)) continue;
      holders.add(keeper.id);
      informed.add(keeper.id);
      keeper.send({ type: "stream-origin", request, ...packOrigin(record) });
    }
  }

  /** Finds the record at admission controllers; null if they know none. */
  async #query(request: string): Promise<OriginRecord | null> {
    const keepers = rankOnce(request, this.#deps.keepers()).slice(0, QUERIED);
    return agreedRecord(await this.#queries.ask(request, keepers));
  }
}
