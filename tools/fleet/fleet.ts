/** Starts a whole fleet on loopback, one OS process for each member. */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Result } from "neverthrow";
import { systemClock } from "../../src/common/clock.ts";
import { Deadline } from "../../src/common/deadline.ts";
import {
  type ApplyError,
  apply,
  type Document,
} from "../../src/configuration/mod.ts";
import { type Instance, ObjectStore } from "../../src/platform/mod.ts";
import { startBackend } from "./backend.ts";
import { Child } from "./child.ts";
import { FaultProxy } from "./fault_proxy.ts";
import type { Backend, Member, SideProcessMember } from "./members.ts";
import type { Plan, ServicePlan, TeamKey } from "./plan.ts";
import { freePorts } from "./ports.ts";
import { until, untilHealthy } from "./until.ts";

const START_TIMEOUT_MS = 30_000;
const APPLY_TIMEOUT_MS = 20_000;
/** Key with which the processes of a loopback fleet authenticate each other. */
export const FLEET_KEY = "fleet-key-of-the-loopback-fleet";
const HOST = "127.0.0.1";

/** Key of the operators' endpoints of a loopback fleet. */
export const OPERATOR_KEY = "operator-key-of-the-loopback-fleet";

export type { Backend, Member, SideProcessMember };

/** A running fleet. */
export class Fleet {
  readonly plan: Plan;
  readonly directory: string;
  readonly routers: Member[] = [];
  readonly sideProcesses: SideProcessMember[] = [];
  platform!: Child;
  platformUrl = "";
  platformProxy: FaultProxy | null = null;
  #platformPort = 0;

  private constructor(plan: Plan, directory: string) {
    this.plan = plan;
    this.directory = directory;
  }

  /**
   * Starts all processes and waits until they are ready; stops what was
   * started and rejects if that fails.
   */
  static async start(plan: Plan): Promise<Fleet> {
    const directory = await mkdtemp(join(tmpdir(), "oriole-"));
    const fleet = new Fleet(plan, directory);
    try {
      await fleet.#start();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** Backend servers of all side processes. */
  get backends(): Backend[] {
    return this.sideProcesses.map(({ backend }) => backend);
  }

  /** Side processes of a service. */
  sideProcessesOf(service: string): SideProcessMember[] {
    return this.sideProcesses.filter(
      ({ instance }) => instance.service === service,
    );
  }

  /** Posts JSON to a control endpoint of the stand-in platform. */
  async control(path: string, value: object): Promise<void> {
    const response = await fetch(
      `http://${HOST}:${this.#platformPort}${path}`,
      {
        method: "POST",
        body: JSON.stringify(value),
      },
    );
    await response.text();
  }

  /** Adds an instance to the platform's instance list, or replaces it. */
  async register(instance: Instance): Promise<void> {
    await this.control("/instances", instance);
  }

  /**
   * Applies a document unconditionally and returns its version; rejects if the
   * store doesn't accept it.
   */
  async configure(document: Document): Promise<number> {
    const applied = await this.apply(document, null);
    if (applied.isErr())
      throw new Error(`Configuration not applied: ${applied.error.type}`);
    return applied.value;
  }

  /**
   * Applies a document as an operator would; `expected` is the version that
   * must be in force, null for any.
   */
  async apply(
    document: Document,
    expected: number | null,
  ): Promise<Result<number, ApplyError>> {
    const store = new ObjectStore(`http://${HOST}:${this.#platformPort}`);
    const deadline = new Deadline(systemClock, APPLY_TIMEOUT_MS);
    const applied = await apply(
      store,
      { document, operator: "launcher", comment: "", expected },
      { clock: systemClock, deadline },
    );
    await store.close();
    return applied;
  }

  /** Reads `/status` of a process; null if it doesn't answer within 2 s. */
  async status(member: Member): Promise<Record<string, unknown> | null> {
    try {
      const response = await fetch(`${member.adminUrl}/status`, {
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        signal: AbortSignal.timeout(2_000),
      });
      return (await response.json()) as Record<string, unknown>;
    } catch {
      return null;
    }
  }

  /** Stops all processes and proxies and removes the fleet's directory. */
  async stop(): Promise<void> {
    const members = [...this.routers, ...this.sideProcesses];
    await Promise.all(members.map(({ child }) => child.stop()));
    await Promise.all(this.backends.map(({ child }) => child.kill()));
    await this.platform?.kill();
    for (const { proxy } of [...members, ...this.backends]) proxy?.close();
    this.platformProxy?.close();
    await rm(this.directory, { recursive: true, force: true });
  }

  async #start(): Promise<void> {
    await this.#startPlatform();
    await this.configure(this.plan.document);
    for (const service of this.plan.services) {
      for (let index = 0; index < service.replicas; index += 1) {
        await this.#startReplica(service, index);
      }
    }
    for (let index = 0; index < this.plan.routers; index += 1) {
      await this.#startRouter(index);
    }
    await this.ready();
  }

  /**
   * Waits until every router has a configuration and a connection to every
   * side process, and every side process has found its backend server up.
   */
  async ready(): Promise<void> {
    const expected = this.sideProcesses.length;
    await until("every router reaches every side process", START_TIMEOUT_MS, {
      holds: async () => {
        const states = await Promise.all(
          this.routers.map((router) => this.status(router)),
        );
        return states.every(
          (state) =>
            state !== null &&
            Number(state.configurationVersion) > 0 &&
            state.sideProcesses === expected,
        );
      },
    });
    await until("every side process is ready", START_TIMEOUT_MS, {
      holds: async () => {
        const states = await Promise.all(
          this.sideProcesses.map((one) => this.status(one)),
        );
        return states.every((state) => state?.backendUp === true);
      },
    });
  }

  async #startPlatform(): Promise<void> {
    const [port] = (await freePorts(1)) as [number];
    this.#platformPort = port;
    this.platform = Child.start("platform", "stand_ins/platform/main.js", [
      "--port",
      String(port),
    ]);
    if (this.plan.proxies?.includes("platform")) {
      this.platformProxy = await FaultProxy.start(port);
    }
    const seen = this.platformProxy?.port ?? port;
    this.platformUrl = `http://${HOST}:${seen}`;
    await untilHealthy(`http://${HOST}:${port}/calls`);
  }

  async #startReplica(service: ServicePlan, index: number): Promise<void> {
    const { name } = service;
    const [backendPort, linkPort, adminPort] = (await freePorts(3)) as [
      number,
      number,
      number,
    ];
    const backend = await startBackend(service, {
      port: backendPort,
      proxied: this.plan.proxies?.includes("backend") ?? false,
      logFile: join(this.directory, `${name}-${index}.runs`),
    });
    const proxies = this.plan.proxies ?? [];
    const proxy = proxies.includes("side-process")
      ? await FaultProxy.start(linkPort)
      : null;
    proxy?.setDelay(this.plan.delayMs ?? 0);
    const instance = this.#instance("side-process", `${name}-${index}`, {
      index,
      service: name,
      port: proxy?.port ?? linkPort,
      adminPort,
    });
    const file = await this.#writeSettings(instance, {
      link: { host: HOST, port: linkPort },
      backendServer: {
        service: name,
        type: service.type,
        url: backend.url,
        slots: service.slots,
        grantsAhead: service.grantsAhead ?? 1,
      },
    });
    const member = this.#member(instance, "side-process", { file, proxy });
    this.sideProcesses.push(Object.assign(member, { backend }));
    await this.register(instance);
  }

  async #startRouter(index: number): Promise<void> {
    const [entryPort, adminPort] = (await freePorts(2)) as [number, number];
    const instance = this.#instance("router", `router-${index}`, {
      index,
      service: "",
      port: entryPort,
      adminPort,
    });
    const entry = { host: HOST, port: entryPort };
    const file = await this.#writeSettings(instance, { entry });
    const proxy = this.plan.proxies?.includes("router")
      ? await FaultProxy.start(entryPort)
      : null;
    this.routers.push(this.#member(instance, "router", { file, proxy }));
    await this.register(instance);
  }

  #instance(
    role: Instance["role"],
    name: string,
    place: {
      readonly index: number;
      readonly service: string;
      readonly port: number;
      readonly adminPort: number;
    },
  ): Instance {
    const zones = this.plan.availabilityZones;
    const { index, ...rest } = place;
    const availabilityZone = zones[index % zones.length] ?? "";
    return { name, role, host: HOST, availabilityZone, state: "live", ...rest };
  }

  async #writeSettings(instance: Instance, own: object): Promise<string> {
    const file = join(this.directory, `${instance.name}.json`);
    const settings = {
      instance: instance.name,
      availabilityZone: instance.availabilityZone,
      platformUrl: this.platformUrl,
      fleetKey: FLEET_KEY,
      operatorKey: OPERATOR_KEY,
      admin: { host: HOST, port: instance.adminPort },
      logLevel: this.plan.logLevel ?? "info",
      ...own,
    };
    await writeFile(file, JSON.stringify(settings, null, 2));
    return file;
  }

  #member(
    instance: Instance,
    command: "router" | "side-process",
    {
      file,
      proxy,
    }: { readonly file: string; readonly proxy: FaultProxy | null },
  ): Member {
    const start = () =>
      Child.start(instance.name, "src/main.js", [command, "--settings", file]);
    const member: Member = {
      instance,
      url:
        command === "router"
          ? `http://${HOST}:${proxy?.port ?? instance.port}`
          : "",
      adminUrl: `http://${HOST}:${instance.adminPort}`,
      proxy,
      child: start(),
      restart: () => {
        member.child = start();
      },
    };
    return member;
  }
}

/** Returns the API key of a planned team; throws if there is none. */
export function keyOf(teams: readonly TeamKey[], name: string): string {
  const team = teams.find((one) => one.name === name);
  if (team === undefined)
    throw new Error(`The fleet's plan has no team "${name}"`);
  return team.key;
}
