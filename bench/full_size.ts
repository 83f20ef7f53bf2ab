/** The letter's full size, and what measured slopes come to there. */

import { table } from "../src/report/mod.ts";
import type { Slope } from "./slope.ts";

const ROUTERS = 370;
const REPLICAS = 1_100;
const SERVICES = 39;
const TEAMS = 17_000;
const CHANGES_PER_DAY = 2_500;
const REQUESTS_PER_SECOND = 14_000;
const SECONDS_PER_DAY = 86_400;
/** Side processes of a service that a router connects to. */
const SUBSET = 8;
const UPDATES_PER_SECOND_MEASURED = 10;
/** The quantum of the spread, in requests per peer. */
const QUANTUM_PER_PEER = 0.5;

/** What a node may spend for control. */
const LIMITS = { cpuPercent: 2.4, memoryMb: 128, bytesPerSecond: 2_048 };

interface Share {
  readonly carrier: string;
  readonly cpuPercent: number;
  readonly memoryMb: number;
  readonly bytesPerSecond: number;
}

/** Returns the sums per role as text. */
export function fullSizeText(slopes: readonly Slope[]): string {
  const lines = new Lines(slopes);
  const routerConnections = SERVICES * SUBSET;
  const sideConnections = (ROUTERS * SUBSET * SERVICES) / REPLICAS;
  const peers = REPLICAS / SERVICES - 1;
  const grants = REQUESTS_PER_SECOND / REPLICAS;
  const waitingTeams = TEAMS / SERVICES / 10;
  const updates = grants / (peers * QUANTUM_PER_PEER);
  return [
    roleText("router", lines.base("router", "side process connected"), [
      lines.connections("router", "side process connected", routerConnections),
      lines.teams("router"),
    ]),
    roleText("side process", lines.base("side process", "router connected"), [
      lines.connections("side process", "router connected", sideConnections),
      lines.peers(peers, updates),
      lines.grants(grants, waitingTeams),
      lines.teams("side process"),
    ]),
  ].join("\n\n");
}

/** Reads shares off measured lines. */
class Lines {
  readonly #slopes: readonly Slope[];

  constructor(slopes: readonly Slope[]) {
    this.#slopes = slopes;
  }

  base(role: string, of: string): Share {
    const at = (figure: string) =>
      this.#find(`${role}: ${figure}`, of).fit.intercept;
    return {
      carrier: "the process at rest",
      cpuPercent: at("processor time"),
      memoryMb: at("resident memory"),
      bytesPerSecond: Math.max(0, at("control traffic sent")),
    };
  }

  connections(role: string, of: string, count: number): Share {
    const at = (figure: string) =>
      this.#find(`${role}: ${figure}`, of).fit.slope * count;
    return {
      carrier: `${Math.round(count)} connections of a subset`,
      cpuPercent: at("processor time"),
      memoryMb: at("resident memory"),
      bytesPerSecond: at("control traffic sent"),
    };
  }

  /** Peers send fewer updates at full size than when measured. */
  peers(count: number, updatesPerSecond: number): Share {
    const of = `peer connected, ${UPDATES_PER_SECOND_MEASURED} updates a second`;
    const at = (figure: string) =>
      this.#find(`side process: ${figure}`, of).fit.slope * count;
    const rate = updatesPerSecond / UPDATES_PER_SECOND_MEASURED;
    return {
      carrier: `${Math.round(count)} peers, quantum of spread`,
      cpuPercent: at("processor time") * rate,
      memoryMb: at("resident memory"),
      bytesPerSecond: updatesPerSecond * count * BYTES_PER_UPDATE,
    };
  }

  grants(perSecond: number, waitingTeams: number): Share {
    const { fit } = this.#find(
      "side process: processor time of a grant",
      "team waiting",
    );
    const micros = fit.intercept + fit.slope * waitingTeams;
    return {
      carrier: `${perSecond.toFixed(1)} grants a second`,
      cpuPercent: (micros * perSecond) / 1e4,
      memoryMb: 0,
      bytesPerSecond: perSecond * BYTES_PER_GRANT,
    };
  }

  teams(role: string): Share {
    const at = (figure: string) => {
      const { fit } = this.#find(`${role}: ${figure}`, "team known");
      return { fixed: fit.intercept, own: fit.slope * TEAMS };
    };
    const changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    const millis = at("processor time of a change");
    const bytes = at("bytes sent for a change");
    return {
      carrier: "teams known and their changes, chunks by content",
      cpuPercent: ((millis.fixed + millis.own) * changes) / 10,
      memoryMb: at("resident memory").own,
      bytesPerSecond: (bytes.fixed + bytes.own) * changes,
    };
  }

  #find(name: string, of: string): Slope {
    const found = this.#slopes.find(
      (slope) => slope.name === name && slope.of === of,
    );
    if (found === undefined) throw new Error(`No slope "${name}" per ${of}`);
    return found;
  }
}

/** A packed entry in a message of its own. */
const BYTES_PER_UPDATE = 45;
const BYTES_PER_GRANT = 20;

function roleText(role: string, base: Share, shares: readonly Share[]): string {
  const all = [base, ...shares];
  const sum = (read: (share: Share) => number) =>
    all.reduce((total, share) => total + read(share), 0);
  const rows = all.map(toRow);
  const total: Share = {
    carrier: "sum",
    cpuPercent: sum((share) => share.cpuPercent),
    memoryMb: sum((share) => share.memoryMb),
    bytesPerSecond: sum((share) => share.bytesPerSecond),
  };
  const header = [role.toUpperCase(), "% OF A CORE", "MB", "BYTES/S"];
  const limit = toRow({ carrier: "limit", ...LIMITS });
  return table([header, ...rows, toRow(total), limit]);
}

function toRow(share: Share): string[] {
  return [
    share.carrier,
    share.cpuPercent.toFixed(2),
    share.memoryMb.toFixed(1),
    share.bytesPerSecond.toFixed(0),
  ];
}
