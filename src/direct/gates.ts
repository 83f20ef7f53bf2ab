/** A router's connections to the gates of all engines. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { BackendServer } from "../directory/mod.ts";
import type { EngineTerms, Strike } from "../protocol/mod.ts";
import type { RouteTable } from "../routing/mod.ts";
import type { GateAccess } from "../scheduling/mod.ts";
import { type Identity, Traffic } from "../transport/mod.ts";
import { GateLink } from "./gate_link.ts";
import type { DirectRouterSettings } from "./settings.ts";

/** What gates share with the rest of the process. */
export interface GatesParts {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly identity: Identity;
  readonly settings: Pick<DirectRouterSettings, "gatePort" | "fleetKey">;
}

/** What gates are told, and whom they tell. */
export interface GatesSources {
  table(): RouteTable | null;
  expectedTokensPerMs(service: string): number;
  changed(): void;
  struck(strike: Strike): void;
}

interface Member {
  readonly link: GateLink;
  /**
   * By id: the entry of a server that died may outlast the start of the next
   * one at its host.
   */
  readonly servers: Map<string, BackendServer>;
}

/** One link for each server that runs an engine. */
export class Gates {
  readonly #parts: GatesParts;
  readonly #sources: GatesSources;
  readonly #traffic = new Traffic();
  /** Members by host: a server that starts again keeps its gate. */
  readonly #members = new Map<string, Member>();

  constructor(parts: GatesParts, sources: GatesSources) {
    this.#parts = parts;
    this.#sources = sources;
  }

  /** Returns the gate of a server; null when its service has no engine. */
  of(server: BackendServer): GateAccess | null {
    const service = this.#sources.table()?.service(server.service);
    if (!service?.engine) return null;
    const known = this.#members.get(server.host);
    if (known !== undefined) {
      known.servers.set(server.id, server);
      known.link.sendTerms();
      return known.link;
    }
    const link = this.#createLink(server.host);
    const servers = new Map([[server.id, server]]);
    this.#members.set(server.host, { link, servers });
    link.run({ host: server.host, port: this.#parts.settings.gatePort });
    return link;
  }

  /** Closes the connection to a gate once the last server there has left. */
  drop(server: BackendServer): void {
    const member = this.#members.get(server.host);
    if (member === undefined || !member.servers.delete(server.id)) return;
    if (member.servers.size > 0) return;
    member.link.close();
    this.#members.delete(server.host);
  }

  /** Tells every gate what operators have changed. */
  sendTerms(): void {
    for (const { link } of this.#members.values()) link.sendTerms();
  }

  /** Tells all routers of a crash, through every gate. */
  sendStrike(strike: Strike): void {
    for (const { link } of this.#members.values()) link.sendStrike(strike);
  }

  /** Closes every connection. */
  close(): void {
    for (const { link } of this.#members.values()) link.close();
  }

  #createLink(host: string): GateLink {
    const { clock, events, identity, settings } = this.#parts;
    const { fleetKey } = settings;
    const configurationVersion = () => this.#sources.table()?.version ?? 0;
    return new GateLink({
      ...{ clock, events },
      credentials: { identity, fleetKey },
      owner: { clock, traffic: this.#traffic, configurationVersion },
      terms: () => this.#terms(host),
      changed: () => this.#sources.changed(),
      struck: (strike) => this.#sources.struck(strike),
    });
  }

  #terms(host: string): EngineTerms | null {
    const server = newestOf(this.#members.get(host)?.servers.values() ?? []);
    const table = this.#sources.table();
    if (server === null || table === null) return null;
    const engine = table.service(server.service)?.engine;
    if (!engine) return null;
    return {
      type: "engine-terms",
      version: table.version,
      server: server.id,
      startedAtMs: server.startedAtMs,
      slots: engine.slots,
      cacheTokens: engine.cacheTokens,
      tokensPerMs: this.#sources.expectedTokensPerMs(server.service),
    };
  }
}

/** The server that started last: it is the one that runs. */
function newestOf(servers: Iterable<BackendServer>): BackendServer | null {
  let newest: BackendServer | null = null;
  for (const server of servers) {
    if (newest !== null && server.startedAtMs < newest.startedAtMs) continue;
    newest = server;
  }
  return newest;
}
