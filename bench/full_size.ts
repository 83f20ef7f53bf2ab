/** Extrapolates the measured slopes to the full size of the users' fleet. */

import { table } from "../src/report/mod.ts";
import type { Slope } from "./slope.ts";

const ROUTERS = 370;
const REPLICAS = 1_100;
const SERVICES = 39;
const TEAMS = 17_000;
const CHANGES_PER_DAY = 2_500;
const REQUESTS_PER_SECOND = 14_000;
const SECONDS_PER_DAY = 86_400;
/** Most side processes of a service that a router connects to. */
const SUBSET_SIZE = 8;
/** Rate per peer at which `measurePeerUpdates` measures. */
const MEASURED_UPDATES_PER_SECOND = 10;
/**
 * A side process sends a team's counter to its peers once it has changed by
 * this much, in mean request costs per peer.
 */
const UPDATE_QUANTUM_PER_PEER = 0.5;

/** What a node may use for control; processor time in percent of a core. */
const LIMITS = { cpuPercent: 2.4, memoryMb: 128, bytesPerSecond: 2_048 };

/** What a process uses for one cause. */
interface CostItem {
  readonly cause: string;
  readonly cpuPercent: number;
  readonly memoryMb: number;
  readonly bytesPerSecond: number;
}

/** Returns a table of costs for each role, with their sum and the limits. */
export function fullSizeText(slopes: readonly Slope[]): string {
  const model = new CostModel(slopes);
  const routerConnections = SERVICES * SUBSET_SIZE;
  const sideConnections = (ROUTERS * SUBSET_SIZE * SERVICES) / REPLICAS;
  const peers = REPLICAS / SERVICES - 1;
  const grants = REQUESTS_PER_SECOND / REPLICAS;
  // Assumes that a tenth of a service's teams wait at a time.
  const waitingTeams = TEAMS / SERVICES / 10;
  const updates = grants / (peers * UPDATE_QUANTUM_PER_PEER);
  return [
    roleTable("router", model.atRest("router", "side process connected"), [
      model.connections("router", "side process connected", routerConnections),
      model.teams("router"),
    ]),
    roleTable(
      "side process",
      model.atRest("side process", "router connected"),
      [
        model.connections("side process", "router connected", sideConnections),
        model.peers(peers, updates),
        model.grants(grants, waitingTeams),
        model.teams("side process"),
      ],
    ),
  ].join("\n\n");
}

/** Computes costs from the fitted lines of measured slopes. */
class CostModel {
  readonly #slopes: readonly Slope[];

  constructor(slopes: readonly Slope[]) {
    this.#slopes = slopes;
  }

  atRest(role: string, of: string): CostItem {
    const at = (figure: string) =>
      this.#find(`${role}: ${figure}`, of).fit.intercept;
    return {
      cause: "the process at rest",
      cpuPercent: at("processor time"),
      memoryMb: at("resident memory"),
      bytesPerSecond: Math.max(0, at("control traffic sent")),
    };
  }

  connections(role: string, of: string, count: number): CostItem {
    const at = (figure: string) =>
      this.#find(`${role}: ${figure}`, of).fit.slope * count;
    return {
      cause: `${Math.round(count)} connections of a subset`,
      cpuPercent: at("processor time"),
      memoryMb: at("resident memory"),
      bytesPerSecond: at("control traffic sent"),
    };
  }

  /**
   * Scales processor time by the update rate, since peers send fewer updates at
   * full size than in the measurement.
   */
  peers(count: number, updatesPerSecond: number): CostItem {
    const of = `peer connected, ${MEASURED_UPDATES_PER_SECOND} updates a second`;
    const at = (figure: string) =>
      this.#find(`side process: ${figure}`, of).fit.slope * count;
    const rate = updatesPerSecond / MEASURED_UPDATES_PER_SECOND;
    return {
      cause: `${Math.round(count)} peers, quantum of spread`,
      cpuPercent: at("processor time") * rate,
      memoryMb: at("resident memory"),
      bytesPerSecond: updatesPerSecond * count * BYTES_PER_UPDATE,
    };
  }

  grants(perSecond: number, waitingTeams: number): CostItem {
    const { fit } = this.#find(
      "side process: processor time of a grant",
      "team waiting",
    );
    const micros = fit.intercept + fit.slope * waitingTeams;
    return {
      cause: `${perSecond.toFixed(1)} grants a second`,
      cpuPercent: (micros * perSecond) / 1e4,
      memoryMb: 0,
      bytesPerSecond: perSecond * BYTES_PER_GRANT,
    };
  }

  teams(role: string): CostItem {
    const at = (figure: string) => {
      const { fit } = this.#find(`${role}: ${figure}`, "team known");
      return { fixed: fit.intercept, variable: fit.slope * TEAMS };
    };
    const changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    const millis = at("processor time of a change");
    const bytes = at("bytes sent for a change");
    return {
      cause: "teams known and their changes, chunks by content",
      cpuPercent: ((millis.fixed + millis.variable) * changes) / 10,
      memoryMb: at("resident memory").variable,
      bytesPerSecond: (bytes.fixed + bytes.variable) * changes,
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

/** One ledger entry in a message of its own. */
const BYTES_PER_UPDATE = 45;
const BYTES_PER_GRANT = 20;

function roleTable(
  role: string,
  atRest: CostItem,
  items: readonly CostItem[],
): string {
  const allItems = [atRest, ...items];
  const sum = (read: (item: CostItem) => number) =>
    allItems.reduce((total, item) => total + read(item), 0);
  const rows = allItems.map(toRow);
  const total: CostItem = {
    cause: "sum",
    cpuPercent: sum((item) => item.cpuPercent),
    memoryMb: sum((item) => item.memoryMb),
    bytesPerSecond: sum((item) => item.bytesPerSecond),
  };
  const header = [role.toUpperCase(), "% OF A CORE", "MB", "BYTES/S"];
  const limit = toRow({ cause: "limit", ...LIMITS });
  return table([header, ...rows, toRow(total), limit]);
}

function toRow(item: CostItem): string[] {
  return [
    item.cause,
    item.cpuPercent.toFixed(2),
    item.memoryMb.toFixed(1),
    item.bytesPerSecond.toFixed(0),
  ];
}
