/** A router's connection to the gate of one engine. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import { RecentService } from "../fairness/mod.ts";
import type {
  EngineTerms,
  Held,
  Message,
  PackedPart,
  Permit as PermitMessage,
  PermitOutcome,
  ServerReport,
  Strike,
} from "../protocol/mod.ts";
import {
  costOf,
  type EngineReport,
  type GateAccess,
  type Outcome,
  type Permit,
  type Prompt,
  type Question,
  type Reply,
} from "../scheduling/mod.ts";
import {
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
} from "../transport/mod.ts";

/** What links share with the rest of the process. */
export interface GateLinkParts {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  /** What the gate must know of its engine; null while that isn't known. */
  readonly terms: () => EngineTerms | null;
  /** Called when another router tells of a crash. */
  readonly struck: (strike: Strike) => void;
  /** Called when a report has come or the connection has changed. */
  readonly changed: () => void;
}

interface Asked {
  readonly question: Question;
  readonly reply: Reply;
}

interface Running {
  readonly team: string;
  readonly prompt: Prompt;
  begun: boolean;
}

/** Asks one gate; connects again whenever the connection is lost. */
export class GateLink implements GateAccess {
  readonly #parts: GateLinkParts;
  readonly #dialer: Dialer;
  readonly #asked = new Map<number, Asked>();
  readonly #running = new Map<number, Running>();
  readonly #service: RecentService;
  #connection: Connection | null = null;
  /** The latest report, with what was asked here since. */
  #report: ServerReport | null = null;
  #lastAsk = 0;

  constructor(parts: GateLinkParts) {
    this.#parts = parts;
    this.#service = new RecentService(parts.clock);
    this.#dialer = new Dialer(parts.credentials, parts.owner, {
      serve: (connection) => this.#serve(connection),
    });
  }

  get connected(): boolean {
    return this.#connection !== null && this.#report !== null;
  }

  get report(): EngineReport | null {
    return this.#report;
  }

  /** Keeps a connection until `close`. */
  run(address: { readonly host: string; readonly port: number }): void {
    void this.#dialer.run(address);
  }

  /** Ends the connection. */
  close(): void {
    this.#dialer.close();
  }

  /** Tells the gate what operators have changed. */
  sendTerms(): void {
    const terms = this.#parts.terms();
    if (terms !== null) this.#connection?.send(terms);
  }

  /** Tells other routers of a crash. */
  sendStrike(strike: Strike): void {
    this.#connection?.send(strike);
  }

  serviceOf(team: string): number {
    return this.#service.of(team);
  }

  ask(question: Question, reply: Reply): () => void {
    this.#lastAsk += 1;
    const ask = this.#lastAsk;
    const { demand, prompt, copiedTokens, elsewhere, leftMs } = question;
    this.#asked.set(ask, { question, reply });
    this.#noteAsked(prompt);
    this.#connection?.send({
      ...{ type: "ask", ask, team: demand.team, elsewhere },
      cost: costOf(demand),
      parts: pack(prompt),
      copiedTokens,
      outputTokens: prompt.outputTokens,
      objectiveMs: demand.objectiveMs,
      leftMs,
    });
    return () => {
      if (!this.#asked.delete(ask)) return;
      this.#connection?.send({ type: "withdraw", ask });
    };
  }

  #noteAsked({ parts }: Prompt): void {
    const report = this.#report;
    if (report === null) return;
    const askedTokens = report.askedTokens + (parts.at(-1)?.tokens ?? 0);
    this.#report = { ...report, askedTokens };
  }

  async #serve(connection: Connection): Promise<void> {
    const gate = connection.peer.instance;
    this.#connection = connection;
    connection.setBusy(true);
    this.sendTerms();
    for (const [ask, running] of this.#running) {
      connection.send(held(ask, running));
    }
    this.#parts.events.info("gate-connected", { gate });
    for await (const message of connection.messages) {
      this.#take(message, connection);
    }
    this.#connection = null;
    this.#report = null;
    const reason = connection.closedBecause;
    const asked = this.#asked.size;
    this.#parts.events.warn("gate-lost", { gate, reason, asked });
    const replies = [...this.#asked.values()];
    this.#asked.clear();
    for (const { reply } of replies) reply.lost();
    this.#parts.changed();
  }

  #take(message: Message, connection: Connection): void {
    switch (message.type) {
      case "permit":
        this.#permitted(message);
        return;
      case "server-report":
        this.#report = message;
        for (const [team, service] of message.teams) {
          this.#service.set(team, service);
        }
        this.#parts.changed();
        return;
      case "strike":
        this.#parts.struck(message);
        return;
      case "heartbeat":
        return;
      default:
        connection.close(`Gate sent ${message.type}`);
    }
  }

  #permitted({ ask, uncachedTokens }: PermitMessage): void {
    const asked = this.#asked.get(ask);
    if (asked === undefined) {
      // It was withdrawn while the permit was on its way.
      const outcome = "neutral";
      this.#connection?.send({ type: "finished", ask, outcome });
      return;
    }
    this.#asked.delete(ask);
    const { demand, prompt } = asked.question;
    this.#running.set(ask, { team: demand.team, prompt, begun: false });
    asked.reply.permitted(this.#permit(ask, uncachedTokens));
  }

  #permit(ask: number, uncachedTokens: number): Permit {
    return {
      uncachedTokens,
      begun: () => {
        const running = this.#running.get(ask);
        if (running === undefined || running.begun) return;
        running.begun = true;
        this.#connection?.send({ type: "begun", ask });
      },
      finish: (outcome) => {
        if (!this.#running.delete(ask)) return;
        const told = toldOf(outcome);
        this.#connection?.send({ type: "finished", ask, outcome: told });
      },
    };
  }
}

/** What an outcome tells of the server, whoever sent the request. */
function toldOf(outcome: Outcome): PermitOutcome {
  switch (outcome) {
    case "served":
    case "failed":
    case "neutral":
      return outcome;
    case "unreachable":
      return "failed";
    case "shed":
      return "neutral";
    default:
      return outcome satisfies never;
  }
}

function pack({ parts }: Prompt): PackedPart[] {
  return parts.map(({ id, tokens }) => [id, tokens]);
}

function held(ask: number, { team, prompt, begun }: Running): Held {
  const { outputTokens } = prompt;
  const parts = pack(prompt);
  return { type: "held", ask, team, parts, outputTokens, begun };
}
