/**
 * Sends a request to a server and, while that server is silent, to another.
 *
 * A silent server may be hung or may go on in a second, which can't be told
 * apart. Its response is therefore kept until another server has sent something
 * to forward; whichever of the two goes on first serves the request.
 */

import type { EventLog } from "../common/event_log.ts";
import type { Decision, Placement } from "../scheduling/mod.ts";
import type { SendEnd, ServerSend } from "./server_send.ts";

/** `backup`: sent while the server of another send is silent. */
export type SendRole = "first" | "backup";

/** Notices of a send, by which sends are compared. */
export interface SendListener {
  /** Nothing came for the silence timeout. */
  onSilence(): void;
  /** The server goes on after a silence. */
  onResumed(): void;
  /** Bytes of the response are about to be forwarded. */
  onClaim(): void;
}

/** What distinguishes the sends of one request. */
export interface SendOptions {
  readonly role: SendRole;
  readonly listener: SendListener;
}

/** What a hedged send needs to know and do for its request. */
export interface HedgedSendDependencies {
  readonly events: EventLog;
  readonly requestId: string;
  /** Whether the request may be sent to one more server. */
  mayHedge(): boolean;
  /** Places the request on another server; aborted if it isn't needed. */
  place(signal: AbortSignal): Promise<Decision>;
  start(placement: Placement, options: SendOptions): ServerSend;
  /** Called when a send has ended, for each of them. */
  onEnd(placement: Placement, end: SendEnd): void;
  /**
   * Called when another server's response is awaited from now on.
   *
   * @param silent the silent server that is given up; null if its send had ended
   */
  onTakeover(placement: Placement, silent: Placement | null): void;
}

/** The sends of one placement of a request. Call `run` only once. */
export class HedgedSend {
  readonly #deps: HedgedSendDependencies;
  /** The send whose response is forwarded. */
  #leader: ServerSend | null = null;
  /** The send to another server while the leader is silent. */
  #backup: ServerSend | null = null;
  #search: AbortController | null = null;
  /** Sends that have been the leader after another one. */
  readonly #promoted = new Set<ServerSend>();

  constructor(deps: HedgedSendDependencies) {
    this.#deps = deps;
  }

  /** Resolves with the end of the send that decided. */
  async run(placement: Placement): Promise<SendEnd> {
    let leader = this.#start(placement, "first");
    this.#leader = leader;
    for (;;) {
      const end = await leader.ended;
      this.#deps.onEnd(leader.placement, end);
      if (this.#leader === leader) {
        if (this.#backup === null || !isFailure(end)) {
          this.#cancelBackup();
          return end;
        }
        this.#promote(this.#backup, null);
      }
      leader = this.#leader;
    }
  }

  #start(placement: Placement, role: SendRole): ServerSend {
    const listener: SendListener = {
      onSilence: () => {
        if (send === this.#leader && this.#backup === null) {
          // A bug here must not end the response that is awaited.
          this.#hedge(send).catch((error: Error) => this.#logDefect(error));
        }
      },
      onResumed: () => {
        if (send === this.#leader) this.#cancelBackup();
      },
      onClaim: () => {
        if (send === this.#backup) this.#takeOver(send);
      },
    };
    const send: ServerSend = this.#deps.start(placement, { role, listener });
    return send;
  }

  /** Looks for another server, and sends it the request. */
  async #hedge(silent: ServerSend): Promise<void> {
    if (!this.#deps.mayHedge()) {
      silent.restartSilenceTimer();
      return;
    }
    this.#search?.abort();
    const search = new AbortController();
    this.#search = search;
    const decision = await this.#deps.place(search.signal);
    if (search.signal.aborted) {
      if (decision.type === "placed") decision.release("neutral");
      return;
    }
    this.#search = null;
    // Its last crash may have been found during the search.
    const isPlaced = decision.type === "placed";
    if (!isPlaced || !this.#deps.mayHedge()) {
      if (isPlaced) decision.release("neutral");
      this.#log(silent, "refused", null);
      silent.restartSilenceTimer();
      return;
    }
    this.#log(silent, "sent", decision);
    const backup = this.#start(decision, "backup");
    this.#backup = backup;
    await this.#watchBackup(backup, silent);
  }

  async #watchBackup(backup: ServerSend, silent: ServerSend): Promise<void> {
    const end = await backup.ended;
    // If it has taken over, `run` handles its end.
    if (this.#promoted.has(backup)) return;
    this.#deps.onEnd(backup.placement, end);
    if (this.#backup !== backup) return;
    this.#backup = null;
    this.#log(silent, end.type, backup.placement);
    silent.restartSilenceTimer();
  }

  #takeOver(backup: ServerSend): void {
    const silent = this.#leader;
    if (silent !== null) this.#log(silent, "taken-over", backup.placement);
    this.#promote(backup, silent);
    silent?.abandon("failed");
  }

  #promote(backup: ServerSend, silent: ServerSend | null): void {
    this.#leader = backup;
    this.#backup = null;
    this.#promoted.add(backup);
    backup.restartSilenceTimer();
    this.#deps.onTakeover(backup.placement, silent?.placement ?? null);
  }

  #cancelBackup(): void {
    this.#search?.abort();
    this.#search = null;
    this.#backup?.abandon("neutral");
    this.#backup = null;
  }

  #logDefect({ message, stack }: Error): void {
    this.#deps.events.error("defect", { message, stack });
  }

  #log(silent: ServerSend, outcome: string, backup: Placement | null): void {
    const { events, requestId } = this.#deps;
    events.info("hedge", {
      request: requestId,
      silent: silent.placement.server.id,
      server: backup?.server.id ?? null,
      outcome,
    });
  }
}

/** Whether another server's response is worth waiting for after this end. */
function isFailure(end: SendEnd): boolean {
  switch (end.type) {
    case "broken":
    case "failed":
    case "not-run":
    case "unreachable":
    case "withdrawn":
      return true;
    case "complete":
    case "aborted":
    case "abandoned":
    case "unsent":
      return false;
    default:
      return end satisfies never;
  }
}
