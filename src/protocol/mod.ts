/** Protocol between the processes of the fleet. */

export { fieldNumbers } from "./field_numbers.ts";
export * from "./message.ts";
export { compileFirstSchemas, parseMessage, prepareSchemas } from "./schema.ts";
