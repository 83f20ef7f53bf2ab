/** The router that sends requests straight to backend servers. */

export type {
  AnswerHeaders,
  AnswerTerms,
  Dialect,
  RequestTerms,
  SendTerms,
} from "./dialect.ts";
export { DirectRouter } from "./direct_router.ts";
export { explain, type RequestDescription } from "./explanation.ts";
export { type DirectRouterSettings, settingsSchema } from "./settings.ts";
