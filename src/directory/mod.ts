/** Directory of the backend servers that have registered. */

export * from "./backend_server.ts";
export * from "./packed_evacuations.ts";
export * from "./packed_notice.ts";
export * from "./server_directory.ts";
export * from "./server_notice.ts";
export * from "./server_notices.ts";
export * from "./version_history.ts";
export * from "./zone_evacuations.ts";
