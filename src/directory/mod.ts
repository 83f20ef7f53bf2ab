/** Directory of the backend servers that have registered. */

export * from "./backend_server.ts";
export * from "./server_directory.ts";
export * from "./version_history.ts";
