/** The router: the process that callers connect to. */

export { Router } from "./router.ts";
