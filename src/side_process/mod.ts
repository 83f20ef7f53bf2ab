/** The side process: runs beside a backend server and dispatches its slots. */

export { SideProcess } from "./side_process.ts";
