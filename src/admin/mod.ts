/** HTTP endpoints for operators. */

export { type AdminSources, createBroker } from "./server.ts";
