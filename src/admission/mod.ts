/** Admission of requests from all routers to one engine. */

export { AdmissionProcess } from "./admission_process.ts";
export type { PermitReceiver } from "./admission_queue.ts";
export { AdmissionController, type EngineLoad } from "./controller.ts";
export { type AdmissionSettings, admissionSettingsSchema } from "./settings.ts";
