/** Stand-ins of backend servers. */

import { Child } from "./child.ts";
import { Link } from "./link.ts";
import type { Backend } from "./members.ts";
import type { ServicePlan } from "./plan.ts";
import { answers } from "./until.ts";

const HOST = "127.0.0.1";

/** Where a backend server runs. */
export interface BackendPlace {
  readonly port: number;
  /** Where its run log is kept. */
  readonly logFile: string;
  readonly linked: boolean;
}

/** Starts an engine or a plain service, behind a link if planned. */
export async function startBackend(
  service: ServicePlan,
  { port, logFile, linked }: BackendPlace,
): Promise<Backend> {
  const { type, stepMs, slots } = service;
  const script =
    type === "model"
      ? "stand_ins/engine/main.js"
      : "stand_ins/plain_service/main.js";
  const step = type === "model" ? "--step-ms" : "--work-ms";
  const args = ["--port", String(port), step, String(stepMs)];
  args.push("--log", logFile);
  if (type === "model") args.push("--slots", String(slots));
  const start = () => Child.start(service.name, script, args);
  const direct = `http://${HOST}:${port}`;
  const link = linked ? await Link.start(port) : null;
  const backend: Backend = {
    service: service.name,
    url: `http://${HOST}:${link?.port ?? port}`,
    link,
    logFile,
    child: start(),
    restart: async () => {
      await backend.child.kill();
      backend.child = start();
      await answers(`${direct}/health`);
    },
  };
  return backend;
}
