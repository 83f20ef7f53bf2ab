/** The configuration version that one process has in force. */

import { createHash } from "node:crypto";
import type { Clock } from "../common/clock.ts";
import { formatFindings } from "../common/finding.ts";
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
import { checkSemantics } from "./validation.ts";

const log = logger("configuration");

const EMPTY_DOCUMENT: Document = {
  services: [],
  contracts: [],
  teams: [],
  rules: [],
  targets: [],
};

/** Called with the new version after each adoption. */
export type AdoptionListener = (version: number) => void;

/**
 * Holds the highest valid version received, indexed for look-ups per request.
 * A lower version is never adopted, so a process never reverts.
 */
export class ActiveConfiguration {
  readonly #clock: Clock;
  /** Chunks of the version in force, and of versions still being fetched. */
  readonly chunks = new ChunkCache();
  readonly #listeners = new Set<AdoptionListener>();
  #version = 0;
  #chunkList: ChunkList = { names: [] };
  #document = EMPTY_DOCUMENT;
  #adoptedAtMs = 0;
  #teamByKeyHash = new Map<string, Team>();
  #teamByName = new Map<string, Team>();
  #contracts = new Map<string, Contract>();
  #services = new Map<string, Service>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Version in force; 0 before the first one is adopted. */
  get version(): number {
    return this.#version;
  }

  /** Names of the chunks of the document in force. */
  get chunkList(): ChunkList {
    return this.#chunkList;
  }

  /**
   * Wall-clock time in milliseconds at which this process adopted the version;
   * 0 before the first one.
   */
  get adoptedAtMs(): number {
    return this.#adoptedAtMs;
  }

  /** Rules in order of evaluation. */
  get rules(): readonly Rule[] {
    return this.#document.rules;
  }

  /** Service-level targets. */
  get targets(): readonly Target[] {
    return this.#document.targets;
  }

  /** Returns the team to which a plain-text key belongs, or null. */
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

  /** Returns a team's weight; 1 for a team without a known contract. */
  weight(teamName: string): number {
    return this.contract(teamName)?.weight ?? 1;
  }

  /** Returns the meter of a team's contract, or null for an unknown team. */
  meter(teamName: string): Meter | null {
    return this.contract(teamName)?.meter ?? null;
  }

  /**
   * Adopts a version if it is higher than the one in force, all of its chunks
   * are cached and the document is valid. Returns whether it was adopted; an
   * incomplete or invalid document is logged.
   */
  adopt(version: number, list: ChunkList): boolean {
    if (version <= this.#version) return false;
    const document = this.chunks.document(list).andThen(checkSemantics);
    if (document.isErr()) {
      log.error(
        `Rejected configuration ${version}: ${formatFindings(document.error)}`,
      );
      return false;
    }
    this.#version = version;
    this.#chunkList = list;
    this.chunks.retainOnly(list);
    this.#adoptedAtMs = this.#clock.wallMs();
    this.#index(document.value);
    log.info(`Configuration ${version} is in force`);
    for (const listener of this.#listeners) listener(version);
    return true;
  }

  /** Registers a listener that is called after each adoption. */
  onAdopted(listener: AdoptionListener): void {
    this.#listeners.add(listener);
  }

  #index(document: Document): void {
    this.#document = document;
    const { teams, contracts, services } = document;
    this.#teamByKeyHash = new Map(teams.map((team) => [team.keyHash, team]));
    this.#teamByName = indexByName(teams);
    this.#contracts = indexByName(contracts);
    this.#services = indexByName(services);
  }
}

/** Returns a team key's SHA-256 in hexadecimal, as in `Team.keyHash`. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function indexByName<T extends { readonly name: string }>(
  items: readonly T[],
): Map<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}
