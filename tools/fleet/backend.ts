/** Starts the stand-ins for backend servers. */

import { Child } from "./child.ts";
import { FaultProxy } from "./fault_proxy.ts";
import type { Backend } from "./members.ts";
import type { ServicePlan } from "./plan.ts";
import { untilHealthy } from "./until.ts";

const HOST = "127.0.0.1";

/** Options of one stand-in backend server. */
export interface BackendOptions {
  readonly port: number;
  /** File of its run log. */
  readonly logFile: string;
  /** Whether a fault proxy stands in front of it. */
  readonly proxied: boolean;
}

/**
 * Starts a stand-in engine or plain service. Its URL is that of the fault proxy
 * if there is one; `restart` resolves once it answers again.
 */
export async function startBackend(
  service: ServicePlan,
  { port, logFile, proxied }: BackendOptions,
): Promise<Backend> {
  const { type, stepMs, slots } = service;
  const script =
    type === "model"
      ? "stand_ins/engine/main.js"
      : "stand_ins/plain_service/main.js";
  const timeFlag = type === "model" ? "--step-ms" : "--work-ms";
  const args = ["--port", String(port), timeFlag, String(stepMs)];
  args.push("--log", logFile);
  if (type === "model") args.push("--slots", String(slots));
  const start = () => Child.start(service.name, script, args);
  const directUrl = `http://${HOST}:${port}`;
  const proxy = proxied ? await FaultProxy.start(port) : null;
  const backend: Backend = {
    service: service.name,
    url: `http://${HOST}:${proxy?.port ?? port}`,
    proxy,
    logFile,
    child: start(),
    restart: async () => {
      await backend.child.kill();
      backend.child = start();
      await untilHealthy(`${directUrl}/health`);
    },
  };
  return backend;
}
