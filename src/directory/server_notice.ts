/** What a backend server says about itself in a response. */

import type { BackendServer } from "./backend_server.ts";

/** A notice holds for all requests, and for one start of its server. */
export type ServerNotice =
  /** It ends its running requests and takes no others until it exits. */
  | { readonly type: "leaving" }
  /** It takes no request for `forMs` milliseconds from now. */
  | { readonly type: "paused"; readonly forMs: number };

/** One start of a server. */
export type ServerStart = Pick<BackendServer, "id" | "startedAtMs">;

/** A notice that is in force. */
export interface CurrentNotice {
  readonly start: ServerStart;
  readonly notice: ServerNotice;
}
