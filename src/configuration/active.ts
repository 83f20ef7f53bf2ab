/** The configuration in force at one process. */

import { createHash } from "node:crypto";
import type { Clock } from "../common/clock.ts";
import { format } from "../common/finding.ts";
import { logger } from "../common/log.ts";
import type { ChunkList } from "./chunk.ts";
import { ChunkCache } from "./chunk_cache.ts";
import type {
  Contract,
  Document,
  Meter,
  Rule,
  Service,
  Target,
  Team,
} from "./document.ts";
import { checkMeaning } from "./validation.ts";

const log = logger("configuration");

const EMPTY: Document = {
  services: [],
  contracts: [],
  teams: [],
  rules: [],
  targets: [],
};

/** Called after another version came into force. */
export type VersionListener = (version: number) => void;

/** Holds the highest version seen; a lower one is never adopted. */
export class ActiveConfiguration {
  readonly #clock: Clock;
  /** Chunks in force, and those of versions on their way. */
  readonly chunks = new ChunkCache();
  readonly #listeners = new Set<VersionListener>();
  #version = 0;
  #list: ChunkList = { names: [] };
  #document = EMPTY;
  #adoptedAtMs = 0;
  #teamByKeyHash = new Map<string, Team>();
  #teamByName = new Map<string, Team>();
  #contracts = new Map<string, Contract>();
  #services = new Map<string, Service>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Version in force; 0 before the first one. */
  get version(): number {
    return this.#version;
  }

  /** Names of the document's chunks. */
  get list(): ChunkList {
    return this.#list;
  }

  /** Wall time at which the version came into force here. */
  get adoptedAtMs(): number {
    return this.#adoptedAtMs;
  }

  /** Rules in their order. */
  get rules(): readonly Rule[] {
    return this.#document.rules;
  }

  /** Service-level targets. */
  get targets(): readonly Target[] {
    return this.#document.targets;
  }

  /** Returns the team of a key, or null. */
  authenticate(key: string): Team | null {
    return this.#teamByKeyHash.get(hashKey(key)) ?? null;
  }

  /** Returns a service by name, or null. */
  service(name: string): Service | null {
    return this.#services.get(name) ?? null;
  }

  /** Returns the contract of a team, or null. */
  contract(teamName: string): Contract | null {
    const team = this.#teamByName.get(teamName);
    return this.#contracts.get(team?.contract ?? "") ?? null;
  }

  /** Returns a team's weight; 1 for a team that is not known yet. */
  weight(teamName: string): number {
    return this.contract(teamName)?.weight ?? 1;
  }

  /** Returns a team's meter, or null. */
  meter(teamName: string): Meter | null {
    return this.contract(teamName)?.meter ?? null;
  }

  /** Adopts a version if it is higher and whole; returns whether it did. */
  adopt(version: number, list: ChunkList): boolean {
    if (version <= this.#version) return false;
    const document = this.chunks.document(list).andThen(checkMeaning);
    if (document.isErr()) {
      log.error(`Refused version ${version}: ${format(document.error)}`);
      return false;
    }
    this.#version = version;
    this.#list = list;
    this.chunks.keepOnly(list);
    this.#adoptedAtMs = this.#clock.wallMs();
    this.#index(document.value);
    log.info(`Version ${version} is in force`);
    for (const listener of this.#listeners) listener(version);
    return true;
  }

  /** Calls the listener after each adoption. */
  onAdopted(listener: VersionListener): void {
    this.#listeners.add(listener);
  }

  #index(document: Document): void {
    this.#document = document;
    const { teams, contracts, services } = document;
    this.#teamByKeyHash = new Map(teams.map((team) => [team.keyHash, team]));
    this.#teamByName = byName(teams);
    this.#contracts = byName(contracts);
    this.#services = byName(services);
  }
}

/** Returns the hash under which a team's key is kept. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function byName<T extends { readonly name: string }>(
  items: readonly T[],
): Map<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}
