/** Admission of requests from all routers to one engine. */

export { AdmissionProcess } from "./admission_process.ts";
export type { PermitReceiver } from "./admission_queue.ts";
export { type ColdBounds, ColdGuard } from "./cold_guard.ts";
export { AdmissionController, type EngineLoad } from "./controller.ts";
export * from "./engine_monitor.ts";
export { RouterCount } from "./router_count.ts";
export { type AdmissionSettings, admissionSettingsSchema } from "./settings.ts";
