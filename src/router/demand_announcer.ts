/**
 * Tells side processes which teams wait here.
 *
 * A few waiting requests are told to a few side processes, many to all: the
 * next free slot of a few is nearly as early, at a fraction of the messages.
 * What still waits after a while is told to all, so that no slot idles.
 */

import type { Demand, TeamDemand } from "../protocol/mod.ts";

/** Changes within this time are told together; some undo each other. */
const COALESCE_MS = 10;
/** Side processes told beyond one per waiting request. */
const SPARE_PEERS = 1;
/** Age at which a waiting request is told to all. */
const ESCALATE_MS = 100;

/** A side process as the announcer sees it. */
export interface DemandReceiver {
  send(message: Demand): void;
}

/** What the announcer reads. */
export interface DemandSource {
  /** Side processes that can be sent work. */
  peers(): readonly DemandReceiver[];
  count(team: string): number;
  /** Age of the team's oldest waiting request, in milliseconds. */
  ageMs(team: string): number;
}

/** Told counts by side process, per team. */
type Told = Map<DemandReceiver, number>;

/** Remembers what each side process was told. */
export class DemandAnnouncer {
  readonly #source: DemandSource;
  readonly #told = new Map<string, Told>();
  readonly #changed = new Set<string>();
  #flushTimer: NodeJS.Timeout | null = null;
  #escalateTimer: NodeJS.Timeout | null = null;

  constructor(source: DemandSource) {
    this.#source = source;
  }

  /** Notes that a team's waiting requests have changed. */
  changed(team: string): void {
    this.#changed.add(team);
    this.#flushTimer ??= setTimeout(() => this.#flush(), COALESCE_MS);
  }

  /** Notes that a peer learned a count by a run or an unused grant. */
  learned(peer: DemandReceiver, team: string, count: number): void {
    const told = this.#told.get(team);
    if (count > 0) told?.set(peer, count);
    else told?.delete(peer);
  }

  /** Forgets what a peer knew whose connection is new or gone. */
  forget(peer: DemandReceiver): void {
    for (const [team, told] of this.#told) {
      if (told.delete(peer)) this.changed(team);
    }
  }

  #flush(): void {
    this.#flushTimer = null;
    const news = new Map<DemandReceiver, TeamDemand[]>();
    for (const team of this.#changed) this.#collect(team, news);
    this.#changed.clear();
    for (const [peer, teams] of news) peer.send({ type: "demand", teams });
    if (this.#told.size > 0) this.#scheduleEscalation();
  }

  #collect(team: string, news: Map<DemandReceiver, TeamDemand[]>): void {
    const count = this.#source.count(team);
    const ageMs = Math.round(this.#source.ageMs(team));
    const told = this.#told.get(team) ?? new Map<DemandReceiver, number>();
    for (const peer of this.#audience(told, { count, ageMs })) {
      if (!isNews(told.get(peer) ?? 0, count)) continue;
      if (count === 0) told.delete(peer);
      else told.set(peer, count);
      const teams = news.get(peer) ?? [];
      teams.push([team, count, ageMs]);
      news.set(peer, teams);
    }
    if (told.size === 0) this.#told.delete(team);
    else this.#told.set(team, told);
  }

  /** Those who know already, and as many more as the count asks for. */
  #audience(
    told: Told,
    { count, ageMs }: { readonly count: number; readonly ageMs: number },
  ): DemandReceiver[] {
    const peers = this.#source.peers();
    if (count === 0) return [...told.keys()];
    if (ageMs >= ESCALATE_MS) return [...peers];
    const wanted = Math.min(peers.length, count + SPARE_PEERS);
    const audience = [...told.keys()];
    const others = peers.filter((peer) => !told.has(peer));
    while (audience.length < wanted && others.length > 0) {
      const at = Math.floor(Math.random() * others.length);
      audience.push(...others.splice(at, 1));
    }
    return audience;
  }

  #scheduleEscalation(): void {
    this.#escalateTimer ??= setTimeout(() => {
      this.#escalateTimer = null;
      for (const team of this.#told.keys()) this.changed(team);
    }, ESCALATE_MS);
  }
}

/** Demand is told when it appears, doubles, halves or ends. */
function isNews(told: number, count: number): boolean {
  if (count === told) return false;
  if (told === 0 || count === 0) return true;
  return count >= told * 2 || count <= told / 2;
}
