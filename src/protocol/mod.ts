/** Protocol between the processes of the fleet. */

export { MAX_PACKED_PARTS } from "./admission_messages.ts";
export { fieldNumbers } from "./field_numbers.ts";
export * from "./message.ts";
export { compileFirstSchemas, parseMessage, prepareSchemas } from "./schema.ts";
