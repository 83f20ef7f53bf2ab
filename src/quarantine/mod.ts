/** Quarantine of requests that crash backend servers. */

export { fingerprintOf, Quarantine, type Trust } from "./quarantine.ts";
