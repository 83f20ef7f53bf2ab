/** Protocol between the processes of the fleet. */

export { fieldNumbers } from "./field_numbers.ts";
export * from "./message.ts";
export { parseMessage } from "./schema.ts";
