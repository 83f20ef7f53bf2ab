/** The entry instances that callers connect to. */

export { Router } from "./router.ts";
