/** Where and when requests are sent, and which are refused. */

export * from "./demand.ts";
export * as engineRoom from "./engine_room.ts";
export * from "./gate_access.ts";
export * from "./outcome.ts";
export { LEFT_OUT_SHARE, ownersOf } from "./placement.ts";
export { PromptMemory } from "./prompt_memory.ts";
export { ReadingRate, SMALLEST_SAMPLE_TOKENS } from "./reading_rate.ts";
export { type Run, RunningWork } from "./running_work.ts";
export * from "./scheduler.ts";
export { ServerHealth } from "./server_health.ts";
export type { ServerLoad } from "./server_load.ts";
export * as work from "./work.ts";
