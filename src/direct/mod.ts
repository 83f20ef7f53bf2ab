/** The router that sends requests straight to backend servers. */

export type {
  Dialect,
  ForwardingTerms,
  RequestTerms,
  ResponseHeaders,
  ResponseTerms,
  StatedLimit,
} from "./dialect.ts";
export { DirectRouter } from "./direct_router.ts";
export { explain, type RequestDescription } from "./explanation.ts";
export { type DirectRouterSettings, settingsSchema } from "./settings.ts";
