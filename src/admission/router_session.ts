/** One router's connection to the admission controller of an engine. */

import type {
  CrashReport,
  CrashSyncMessage,
  EvacuationsReport,
  Message,
  OriginAnswer,
  OriginNotice,
  OriginQuery,
  RequestLimitNotice,
  ServerNoticeReport,
  ServerReport,
  SoundReport,
} from "../protocol/mod.ts";
import { ADMISSION_HEARTBEAT_MS, type Connection } from "../transport/mod.ts";
import type { PermitReceiver } from "./admission_queue.ts";
import type { AdmissionController } from "./controller.ts";

/** What one router tells the others, as it is sent. */
export type RelayedReport =
  | RequestLimitNotice
  | ServerNoticeReport
  | EvacuationsReport;

/** Notices of what a router has sent. */
export interface RouterSessionListener {
  onReport(report: CrashReport | SoundReport): void;
  /** Handles a comparison of crash evidence; returns the replies. */
  onCrashSync(message: CrashSyncMessage): readonly CrashSyncMessage[];
  /** A request has been queued or permitted. */
  onAsk(): void;
  /** The engine's limit on requests has changed. */
  onLimitChange(): void;
  /** The router knows of a number of routers. */
  onRouterCount(routers: number): void;
  /** A server without an admission controller has named a limit. */
  onOtherLimit(notice: RequestLimitNotice): void;
  /** A server has said that it leaves, or takes no requests for a time. */
  onServerNotice(report: ServerNoticeReport): void;
  /** The router knows which zones are emptied. */
  onEvacuations(report: EvacuationsReport): void;
  onOrigin(notice: OriginNotice): void;
  findOrigin(query: OriginQuery): OriginAnswer;
}

/** Passes a router's messages to the admission controller, and its replies. */
export class RouterSession implements PermitReceiver {
  readonly #connection: Connection;
  readonly #controller: AdmissionController;
  readonly #listener: RouterSessionListener;

  constructor(
    connection: Connection,
    controller: AdmissionController,
    listener: RouterSessionListener,
  ) {
    this.#connection = connection;
    this.#controller = controller;
    this.#listener = listener;
  }

  /** Serves the connection until it closes, then drops the router's work. */
  async serve(): Promise<void> {
    this.#connection.setIdleHeartbeatMs(ADMISSION_HEARTBEAT_MS);
    for await (const message of this.#connection.messages)
      this.#handle(message);
    this.#controller.removeRouter(this);
  }

  /** Permits the router to send a request. */
  permit(ask: number, uncachedTokens: number): void {
    this.#connection.send({ type: "permit", ask, uncachedTokens });
  }

  /** Sends the engine's load, or what another router has reported. */
  sendReport(report: ServerReport | RelayedReport): void {
    this.#connection.send(report);
  }

  /** Sends a report that was encoded once for all routers. */
  sendEncoded(
    report: ServerReport | CrashReport | SoundReport,
    frame: Buffer,
  ): void {
    this.#connection.sendEncoded(report, frame);
  }

  #handle(message: Message): void {
    switch (message.type) {
      case "engine-terms":
        if (message.coldTerms !== undefined)
          this.#listener.onRouterCount(message.coldTerms.routers);
        this.#controller.configure(message);
        return;
      case "ask":
        this.#controller.enqueue(this, message);
        this.#listener.onAsk();
        return;
      case "held":
        this.#controller.addRunning(this, message);
        return;
      case "withdraw":
        this.#controller.withdraw(this, message.ask);
        return;
      case "begun":
        this.#controller.markPrefilled(this, message.ask);
        return;
      case "finished":
        if (message.missedPace)
          this.#controller.noteMissedPace(this, message.ask);
        this.#controller.finish(this, message.ask, message.outcome);
        return;
      case "request-limit":
        if (!this.#controller.isFor(message))
          this.#listener.onOtherLimit(message);
        else if (this.#controller.noteRequestLimit(message))
          this.#listener.onLimitChange();
        return;
      case "server-notice":
        this.#listener.onServerNotice(message);
        return;
      case "evacuations":
        this.#listener.onEvacuations(message);
        return;
      case "stream-origin":
        this.#listener.onOrigin(message);
        return;
      case "origin-query":
        this.#connection.send(this.#listener.findOrigin(message));
        return;
      case "crash-report":
      case "sound-report":
        this.#listener.onReport(message);
        return;
      case "crash-summary":
      case "crash-digests":
      case "crash-offer":
      case "crash-query":
      case "crash-record":
        for (const reply of this.#listener.onCrashSync(message))
          this.#connection.send(reply);
        return;
      case "heartbeat":
        return;
      default:
        this.#connection.close(`Router sent ${message.type}`);
    }
  }
}
