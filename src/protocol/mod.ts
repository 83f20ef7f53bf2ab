/** Protocol between the processes of the fleet. */

export { fieldNumbers } from "./field_numbers.ts";
export * from "./message.ts";
export { parseMessage, prepareSchemas } from "./schema.ts";
