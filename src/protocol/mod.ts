/** The protocol between the system's own processes. */

export { fieldNumbers } from "./field_numbers.ts";
export * from "./message.ts";
export { parse } from "./schema.ts";
