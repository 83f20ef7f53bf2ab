/**
 * Announces the demand of a router: how many requests each team has queued.
 *
 * A short queue is announced to a few side processes, a long one to all. One
 * of the few frees a slot nearly as early as one of all would, at a fraction of
 * the messages. A request that waits too long is announced to all, so that no
 * slot stays idle.
 */

import type { Demand, TeamDemand } from "../protocol/mod.ts";

/**
 * Changes within this time are sent in one message; some cancel each other
 * out.
 */
const COALESCE_MS = 10;
/** Recipients of an announcement beyond one per queued request. */
const EXTRA_RECIPIENTS = 1;
/** Age from which a queued request is announced to all side processes. */
const ESCALATION_MS = 100;

/** A side process that demand is announced to. */
export interface DemandReceiver {
  send(message: Demand): void;
}

/** The state of the queue that the announcer reads. */
export interface DemandSource {
  /** Side processes that can be sent work. */
  peers(): readonly DemandReceiver[];
  /** Number of queued requests of a team. */
  count(team: string): number;
  /** Age of the request at the head of the team's queue, in milliseconds. */
  ageMs(team: string): number;
}

/** The queue length of one team that each side process knows. */
type AnnouncedCounts = Map<DemandReceiver, number>;

/**
 * Announces changes of queue lengths; remembers which lengths each side process
 * knows, to send only what matters.
 */
export class DemandAnnouncer {
  readonly #source: DemandSource;
  readonly #countsByTeam = new Map<string, AnnouncedCounts>();
  readonly #changedTeams = new Set<string>();
  #flushTimer: NodeJS.Timeout | null = null;
  #escalationTimer: NodeJS.Timeout | null = null;

  constructor(source: DemandSource) {
    this.#source = source;
  }

  /** Schedules an announcement after a team's queue has changed. */
  markChanged(team: string): void {
    this.#changedTeams.add(team);
    this.#flushTimer ??= setTimeout(() => this.#flush(), COALESCE_MS);
  }

  /** Records a count that a peer was sent in a run or with an unused grant. */
  recordKnownCount(peer: DemandReceiver, team: string, count: number): void {
    const announced = this.#countsByTeam.get(team);
    if (count > 0) announced?.set(peer, count);
    else announced?.delete(peer);
  }

  /** Forgets what a peer knew, after it has connected or disconnected. */
  forget(peer: DemandReceiver): void {
    for (const [team, announced] of this.#countsByTeam) {
      if (announced.delete(peer)) this.markChanged(team);
    }
  }

  #flush(): void {
    this.#flushTimer = null;
    const updates = new Map<DemandReceiver, TeamDemand[]>();
    for (const team of this.#changedTeams) this.#collect(team, updates);
    this.#changedTeams.clear();
    for (const [peer, teams] of updates) peer.send({ type: "demand", teams });
    if (this.#countsByTeam.size > 0) this.#scheduleEscalation();
  }

  #collect(team: string, updates: Map<DemandReceiver, TeamDemand[]>): void {
    const count = this.#source.count(team);
    const ageMs = Math.round(this.#source.ageMs(team));
    const announced =
      this.#countsByTeam.get(team) ?? new Map<DemandReceiver, number>();
    for (const peer of this.#recipients(announced, { count, ageMs })) {
      if (!shouldAnnounce(announced.get(peer) ?? 0, count)) continue;
      if (count === 0) announced.delete(peer);
      else announced.set(peer, count);
      const teams = updates.get(peer) ?? [];
      teams.push([team, count, ageMs]);
      updates.set(peer, teams);
    }
    if (announced.size === 0) this.#countsByTeam.delete(team);
    else this.#countsByTeam.set(team, announced);
  }

  /**
   * Returns the peers that know of the team's demand already, and random others
   * until there are `EXTRA_RECIPIENTS` more than queued requests.
   */
  #recipients(
    announced: AnnouncedCounts,
    { count, ageMs }: { readonly count: number; readonly ageMs: number },
  ): DemandReceiver[] {
    const peers = this.#source.peers();
    if (count === 0) return [...announced.keys()];
    if (ageMs >= ESCALATION_MS) return [...peers];
    const wanted = Math.min(peers.length, count + EXTRA_RECIPIENTS);
    const recipients = [...announced.keys()];
    const others = peers.filter((peer) => !announced.has(peer));
    while (recipients.length < wanted && others.length > 0) {
      const index = Math.floor(Math.random() * others.length);
      recipients.push(...others.splice(index, 1));
    }
    return recipients;
  }

  #scheduleEscalation(): void {
    this.#escalationTimer ??= setTimeout(() => {
      this.#escalationTimer = null;
      for (const team of this.#countsByTeam.keys()) this.markChanged(team);
    }, ESCALATION_MS);
  }
}

/** Whether demand has appeared, doubled, halved or ended. */
function shouldAnnounce(announced: number, count: number): boolean {
  if (count === announced) return false;
  if (announced === 0 || count === 0) return true;
  return count >= announced * 2 || count <= announced / 2;
}
