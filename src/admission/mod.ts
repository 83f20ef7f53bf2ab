/** Admission of requests to one engine, for all routers. */

export { AdmissionProcess } from "./admission_process.ts";
export type { Router } from "./ask_lines.ts";
export { Gate, type GateLoad } from "./gate.ts";
export { type AdmissionSettings, admissionSettingsSchema } from "./settings.ts";
