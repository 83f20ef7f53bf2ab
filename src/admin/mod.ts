/** HTTP endpoints for operators. */

export { type AdminSources, createBroker } from "./server.ts";
export { startBroker } from "./start_broker.ts";
