/** Which service and software version began a stream. */

export * from "./origin_memory.ts";
export * from "./packed_origin.ts";
export * from "./stream_origin.ts";
