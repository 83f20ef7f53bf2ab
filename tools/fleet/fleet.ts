/** Starts a whole fleet as separate processes on loopback. */

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
import { Link } from "./link.ts";
import type { Backend, Member, SideMember } from "./members.ts";
import type { Plan, ServicePlan, TeamKey } from "./plan.ts";
import { freePorts } from "./ports.ts";
import { answers, until } from "./until.ts";

const START_TIMEOUT_MS = 30_000;
const APPLY_TIMEOUT_MS = 20_000;
/** Shared by the processes of the loopback fleet. */
export const FLEET_KEY = "fleet-key-of-the-loopback-fleet";
const HOST = "127.0.0.1";

/** Key of the operators' endpoints. */
export const OPERATOR_KEY = "operator-key-of-the-loopback-fleet";

export type { Backend, Member, SideMember };

/** A fleet that runs. */
export class Fleet {
  readonly plan: Plan;
  readonly directory: string;
  readonly routers: Member[] = [];
  readonly sideProcesses: SideMember[] = [];
  platform!: Child;
  platformUrl = "";
  platformLink: Link | null = null;
  #platformPort = 0;

  private constructor(plan: Plan, directory: string) {
    this.plan = plan;
    this.directory = directory;
  }

  /** Starts everything and waits until every router is ready. */
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
  sideProcessesOf(service: string): SideMember[] {
    return this.sideProcesses.filter(
      ({ instance }) => instance.service === service,
    );
  }

  /** Calls one of the stand-in platform's own switches. */
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

  /** Tells the instance list of an instance. */
  async register(instance: Instance): Promise<void> {
    await this.control("/instances", instance);
  }

  /** Applies a document as an operator would; returns its version. */
  async configure(document: Document): Promise<number> {
    const applied = await this.apply(document, null);
    if (applied.isErr()) throw new Error(`Can't apply: ${applied.error.type}`);
    return applied.value;
  }

  /** Applies a document if `expected` is still in force. */
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

  /** Reads `/status` of a process; null when it doesn't answer. */
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

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    const members = [...this.routers, ...this.sideProcesses];
    await Promise.all(members.map(({ child }) => child.stop()));
    await Promise.all(this.backends.map(({ child }) => child.kill()));
    await this.platform?.kill();
    for (const { link } of [...members, ...this.backends]) link?.close();
    this.platformLink?.close();
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

  /** Waits until every router reaches every side process. */
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
    if (this.plan.links?.includes("platform")) {
      this.platformLink = await Link.start(port);
    }
    const seen = this.platformLink?.port ?? port;
    this.platformUrl = `http://${HOST}:${seen}`;
    await answers(`http://${HOST}:${port}/calls`);
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
      linked: this.plan.links?.includes("backend") ?? false,
      logFile: join(this.directory, `${name}-${index}.runs`),
    });
    const links = this.plan.links ?? [];
    const link = links.includes("side-process")
      ? await Link.start(linkPort)
      : null;
    link?.setDelay(this.plan.delayMs ?? 0);
    const instance = this.#instance("side-process", `${name}-${index}`, {
      index,
      service: name,
      port: link?.port ?? linkPort,
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
    const member = this.#member(instance, "side-process", { file, link });
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
    const link = this.plan.links?.includes("router")
      ? await Link.start(entryPort)
      : null;
    this.routers.push(this.#member(instance, "router", { file, link }));
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
    { file, link }: { readonly file: string; readonly link: Link | null },
  ): Member {
    const start = () =>
      Child.start(instance.name, "src/main.js", [command, "--settings", file]);
    const member: Member = {
      instance,
      url:
        command === "router"
          ? `http://${HOST}:${link?.port ?? instance.port}`
          : "",
      adminUrl: `http://${HOST}:${instance.adminPort}`,
      link,
      child: start(),
      restart: () => {
        member.child = start();
      },
    };
    return member;
  }
}

/** Returns the key of a team. */
export function keyOf(teams: readonly TeamKey[], name: string): string {
  const team = teams.find((one) => one.name === name);
  if (team === undefined) throw new Error(`Team ${name} is not planned`);
  return team.key;
}
