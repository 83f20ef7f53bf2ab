/** State of one scenario: the fleet under test and the calls to it. */

import { type Execution, readRunLog } from "../../stand_ins/run_log.ts";
import {
  deskDeployment,
  shopDeployment,
} from "../../tools/fleet/deployments.ts";
import { Fleet, keyOf } from "../../tools/fleet/fleet.ts";
import type { Plan, ProxyPlace } from "../../tools/fleet/plan.ts";
import type { CallResult } from "../../tools/load/caller.ts";
import type { LoadRecord } from "../../tools/load/workload.ts";
import type { CallRecord } from "./call_record.ts";
import {
  type CallOptions,
  headersOf,
  sendChat,
  sendPlain,
} from "./caller_request.ts";
import type { ScenarioWorld } from "./feature.ts";

/** Size of a scenario's fleet; replicas are of each service. */
export interface FleetSize {
  readonly routers: number;
  readonly replicas: number;
  readonly slots: number;
  readonly deployment: "desk" | "shop";
}

/** The world that all steps of a scenario act on. */
export class World implements ScenarioWorld {
  /** All calls, in the order in which they were sent. */
  readonly calls: CallRecord[] = [];
  /** Where fault proxies are placed when the fleet starts. */
  readonly proxies = new Set<ProxyPlace>();
  seed = 1;
  #fleet: Fleet | null = null;
  #textCount = 0;
  #continuousCalls: { stop: () => void; done: Promise<void> } | null = null;
  readonly #loads = new Map<string, Promise<LoadRecord[]>>();
  readonly #cleanups: (() => void)[] = [];
  /** Numbers that a step leaves for later steps. */
  readonly stepValues = new Map<string, number>();

  /** The fleet of the scenario; throws before it was started. */
  get fleet(): Fleet {
    if (this.#fleet === null) throw new Error("No step has started a fleet");
    return this.#fleet;
  }

  /** Results of the calls that have ended. */
  get results(): CallResult[] {
    return this.calls.flatMap(({ result }) => (result ? [result] : []));
  }

  /** Starts a fleet. */
  async start(size: FleetSize): Promise<void> {
    const base =
      size.deployment === "desk" ? deskDeployment() : shopDeployment();
    const plan: Plan = {
      ...base,
      routers: size.routers,
      services: base.services.map((service) => ({
        ...service,
        replicas: size.replicas,
        slots: size.slots,
      })),
      proxies: [...this.proxies],
    };
    this.#fleet = await Fleet.start(plan);
  }

  /**
   * Sends a request. Defaults: the plan's first service and team, the routers
   * in turn, and a text that no other call has.
   */
  call(options: CallOptions = {}): CallRecord {
    this.#textCount += 1;
    const service = options.service ?? this.fleet.plan.services[0]?.name ?? "";
    const plan = this.fleet.plan.services.find(({ name }) => name === service);
    const text = options.text ?? `Request ${this.seed}-${this.#textCount}`;
    const router =
      options.router ?? this.calls.length % this.fleet.routers.length;
    const url = this.fleet.routers[router]?.url ?? "";
    const team = options.team ?? this.fleet.plan.teams[0]?.name ?? "";
    const request = {
      ...{ url, team, service, text, options },
      key: keyOf(this.fleet.plan.teams, team),
      headers: headersOf(options),
    };
    const sent =
      plan?.type === "plain" ? sendPlain(request) : sendChat(request);
    const record: CallRecord = {
      text,
      bodyHash: sent.bodyHash,
      team,
      idempotent: options.idempotent ?? plan?.type === "model",
      idempotencyKey: options.idempotencyKey ?? "",
      router,
      ended: sent.result.then((result) => {
        record.result = result;
        return result;
      }),
      result: null,
    };
    this.calls.push(record);
    return record;
  }

  /** Keeps `concurrency` requests in flight until `stopSending`. */
  keepSending(concurrency: number, options: CallOptions): void {
    let sending = true;
    const loops = Array.from({ length: concurrency }, async () => {
      while (sending) await this.call(options).ended;
    });
    const done = Promise.all(loops).then(() => undefined);
    this.#continuousCalls = {
      stop: () => {
        sending = false;
      },
      done,
    };
  }

  /** Ends `keepSending` and waits for its calls to end. */
  async stopSending(): Promise<void> {
    this.#continuousCalls?.stop();
    await this.#continuousCalls?.done;
    this.#continuousCalls = null;
  }

  /** Ends `keepSending` and waits until every call has ended. */
  async settle(): Promise<void> {
    await this.stopSending();
    await Promise.all(this.calls.map(({ ended }) => ended));
  }

  /** Adds a load that runs in the background, under a name. */
  addLoad(name: string, records: Promise<LoadRecord[]>): void {
    this.#loads.set(name, records);
  }

  /** Waits for a load's end and returns its records; none if unknown. */
  async loadOf(name: string): Promise<LoadRecord[]> {
    return (await this.#loads.get(name)) ?? [];
  }

  /** Registers a function that stops what a step has started. */
  onClose(cleanup: () => void): void {
    this.#cleanups.push(cleanup);
  }

  /** Runs at all backend servers, including those before a crash. */
  executions(): Execution[] {
    return this.fleet.backends.flatMap(({ logFile }) => readRunLog(logFile));
  }

  /**
   * Stops everything. If the scenario failed, first prints the last log lines
   * of each process and the counts of call results.
   */
  async close(failed: boolean): Promise<void> {
    for (const cleanup of this.#cleanups) cleanup();
    if (this.#fleet === null) return;
    this.#continuousCalls?.stop();
    if (failed) this.#showLogs(this.#fleet);
    for (const { proxy } of [
      ...this.#fleet.sideProcesses,
      ...this.#fleet.backends,
    ]) {
      proxy?.heal();
    }
    await this.#fleet.stop();
    await Promise.allSettled(this.#loads.values());
    await Promise.allSettled(this.calls.map(({ ended }) => ended));
  }

  #showLogs(fleet: Fleet): void {
    for (const { instance, child } of [
      ...fleet.routers,
      ...fleet.sideProcesses,
    ]) {
      const lines = child.log.slice(-15).join("\n  ");
      console.error(`--- ${instance.name}\n  ${lines}`);
    }
    const kinds = new Map<string, number>();
    for (const { type, outcome, code } of this.results) {
      const kind = `${type} ${outcome} ${code}`;
      kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    }
    console.error("--- calls", Object.fromEntries(kinds));
  }
}
