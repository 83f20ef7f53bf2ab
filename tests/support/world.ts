/** A fleet under test with its callers; the state of one scenario. */

import { type Execution, readRuns } from "../../stand_ins/run_log.ts";
import {
  deskDeployment,
  shopDeployment,
} from "../../tools/fleet/deployments.ts";
import { Fleet, keyOf } from "../../tools/fleet/fleet.ts";
import type { LinkPlace, Plan } from "../../tools/fleet/plan.ts";
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

/** Sizes of a scenario's fleet. */
export interface FleetSize {
  readonly routers: number;
  readonly replicas: number;
  readonly slots: number;
  readonly deployment: "desk" | "shop";
}

/** State of one scenario. */
export class World implements ScenarioWorld {
  readonly calls: CallRecord[] = [];
  readonly links = new Set<LinkPlace>();
  seed = 1;
  #fleet: Fleet | null = null;
  #texts = 0;
  #sending: { stop: () => void; done: Promise<void> } | null = null;
  readonly #loads = new Map<string, Promise<LoadRecord[]>>();
  readonly #closers: (() => void)[] = [];
  /** Notes that later steps read. */
  readonly notes = new Map<string, number>();

  /** The fleet of the scenario. */
  get fleet(): Fleet {
    if (this.#fleet === null) throw new Error("No fleet was started");
    return this.#fleet;
  }

  /** Calls that have ended. */
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
      links: [...this.links],
    };
    this.#fleet = await Fleet.start(plan);
  }

  /** Sends a request to a model service or a plain one. */
  call(options: CallOptions = {}): CallRecord {
    this.#texts += 1;
    const service = options.service ?? this.fleet.plan.services[0]?.name ?? "";
    const plan = this.fleet.plan.services.find(({ name }) => name === service);
    const text = options.text ?? `Request ${this.seed}-${this.#texts}`;
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

  /** Sends requests again and again until `stopSending`. */
  keepSending(concurrency: number, options: CallOptions): void {
    let going = true;
    const loops = Array.from({ length: concurrency }, async () => {
      while (going) await this.call(options).ended;
    });
    const done = Promise.all(loops).then(() => undefined);
    this.#sending = {
      stop: () => {
        going = false;
      },
      done,
    };
  }

  /** Ends `keepSending` and waits for its calls. */
  async stopSending(): Promise<void> {
    this.#sending?.stop();
    await this.#sending?.done;
    this.#sending = null;
  }

  /** Waits until every call has ended. */
  async settle(): Promise<void> {
    await this.stopSending();
    await Promise.all(this.calls.map(({ ended }) => ended));
  }

  /** Notes a load that runs beside the steps. */
  noteLoad(name: string, records: Promise<LoadRecord[]>): void {
    this.#loads.set(name, records);
  }

  /** Waits for a load and returns its records. */
  async loadOf(name: string): Promise<LoadRecord[]> {
    return (await this.#loads.get(name)) ?? [];
  }

  /** Registers what a step started and must end. */
  onClose(closer: () => void): void {
    this.#closers.push(closer);
  }

  /** Everything that ran at any backend server, also before a crash. */
  executions(): Execution[] {
    return this.fleet.backends.flatMap(({ logFile }) => readRuns(logFile));
  }

  /** Ends everything; shows the logs of a scenario that failed. */
  async close(failed: boolean): Promise<void> {
    for (const closer of this.#closers) closer();
    if (this.#fleet === null) return;
    this.#sending?.stop();
    if (failed) this.#showLogs(this.#fleet);
    for (const { link } of [
      ...this.#fleet.sideProcesses,
      ...this.#fleet.backends,
    ]) {
      link?.heal();
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
