/** What one router knows of an engine in plays without a network. */

import type { AdmissionController } from "../../src/admission/mod.ts";
import type { Clock } from "../../src/common/clock.ts";
import type { Engine } from "../../src/routing/mod.ts";
import type {
  EngineAdmission,
  EngineReport,
} from "../../src/scheduling/engine_admission.ts";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import { createServer } from "../support/servers.ts";

/** A router's view of one engine; the play replaces its report. */
export interface EngineView {
  readonly load: ServerLoad;
  report: EngineReport;
}

/** The engine, its speed, and how many routers share it. */
export interface EngineViewOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly engine: Engine;
  readonly tokensPerMs: number;
  readonly routers: number;
}

/** Returns a view with the controller's present report. */
export function createEngineView(
  controller: AdmissionController,
  { clock, id, engine, tokensPerMs, routers }: EngineViewOptions,
): EngineView {
  const view = { report: { ...controller.load, routers } };
  const admission: EngineAdmission = {
    connected: true,
    get report() {
      return view.report;
    },
    requestPermit: () => () => {},
    usageOf: () => 0,
    noteRequestLimit: () => {},
  };
  const server = createServer({ id, service: "chat" });
  const rate = new PrefillRate(tokensPerMs);
  const load = new ServerLoad(server, engine, { clock, rate, admission });
  return Object.assign(view, { load });
}
