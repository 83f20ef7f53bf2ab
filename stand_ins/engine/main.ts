/**
 * Starts the stand-in engine:
 * `main.js --port N --step-ms N --slots N --load-lag-ms N --log FILE`.
 */

import { parseArgs } from "node:util";
import { serve } from "../http.ts";
import { Engine } from "./engine.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    "step-ms": { type: "string", default: "2.5" },
    slots: { type: "string", default: "8" },
    "load-lag-ms": { type: "string", default: "500" },
    log: { type: "string", default: "" },
  },
});
const engine = new Engine({
  stepMs: Number(values["step-ms"]),
  slots: Number(values.slots),
  loadLagMs: Number(values["load-lag-ms"]),
  logFile: values.log,
  crash: () => process.exit(70),
});
await serve(
  (request, response, url) => engine.handle(request, response, url),
  Number(values.port),
);
