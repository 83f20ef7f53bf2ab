/** The process beside each backend server. */

export { SideProcess } from "./side_process.ts";
