/** Operators' endpoints. */

export { type AdminSources, createBroker } from "./server.ts";
