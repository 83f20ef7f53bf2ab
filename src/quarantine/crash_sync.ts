/**
 * Brings the crash evidence of two connected processes to the same state.
 *
 * Reports that were lost with a session are repaired by comparison: a summary
 * of a few bytes, then digests of the crashes, then the records in which the
 * processes differ. Processes that know the same crashes exchange nothing more
 * than the summary.
 */

import type { Clock } from "../common/clock.ts";
import type { CrashReport, CrashSyncMessage } from "../protocol/mod.ts";
import type { CrashEvidence } from "./crash_evidence.ts";
import { crashMessagesOf } from "./report_messages.ts";

/**
 * Time for which a record that was asked for isn't asked for again: many peers
 * may offer the same one.
 */
const ANSWER_MS = 500;

/** Records that are asked for at once: they are encoded and decoded in one turn. */
const QUERY_LIMIT = 16;
/**
 * Entries of records that are sent in reply to one query, or one record: as many as
 * those of 16 usual crashes. The rest is asked for again.
 */
const ANSWER_LIMIT_ENTRIES = 4_096;

/** Called with each record that the other process has and this one hasn't. */
export type RecordReceiver = (record: CrashReport) => void;

/** One process's part in the comparison, for all its peers. */
export class CrashSync {
  readonly #clock: Clock;
  readonly #evidence: CrashEvidence;
  readonly #onRecord: RecordReceiver;
  readonly #askedAtMs = new Map<string, number>();
  /** Whether more records were offered than were asked for. */
  #isLimited = false;

  constructor(clock: Clock, evidence: CrashEvidence, onRecord: RecordReceiver) {
    this.#clock = clock;
    this.#evidence = evidence;
    this.#onRecord = onRecord;
  }

  /** Message that begins a comparison. */
  get summary(): CrashSyncMessage {
    return { type: "crash-summary", digest: this.#evidence.summary };
  }

  /** Handles a peer's message; returns the replies to it. */
  handle(message: CrashSyncMessage): CrashSyncMessage[] {
    switch (message.type) {
      case "crash-summary": {
        if (message.digest === this.#evidence.summary) return [];
        return [{ type: "crash-digests", digests: this.#evidence.digests }];
      }
      case "crash-digests":
        return [...this.#offer(message), ...this.#query(message)];
      case "crash-offer":
        return this.#query(message);
      case "crash-query":
        return this.#answerAll(message.crashes);
      case "crash-record":
        this.#askedAtMs.delete(message.crash);
        this.#onRecord({ ...message, type: "crash-report" });
        return this.#continueComparison();
      default:
        return message satisfies never;
    }
  }

  #offer({ digests }: DigestList): CrashSyncMessage[] {
    const peers = new Map(digests.map(([crash, digest]) => [crash, digest]));
    const offered = this.#evidence.digests.filter(
      ([crash, digest]) => peers.get(crash) !== digest,
    );
    if (offered.length === 0) return [];
    return [{ type: "crash-offer", digests: offered }];
  }

  #query({ digests }: DigestList): CrashSyncMessage[] {
    const nowMs = this.#clock.monotonicMs();
    for (const [crash, atMs] of this.#askedAtMs)
      if (atMs <= nowMs - ANSWER_MS) this.#askedAtMs.delete(crash);
    const crashes = digests
      .filter((digest) => this.#evidence.isBehind(digest))
      .map(([crash]) => crash)
      .filter((crash) => !this.#askedAtMs.has(crash));
    this.#isLimited = crashes.length > QUERY_LIMIT;
    crashes.splice(QUERY_LIMIT);
    if (crashes.length === 0) return [];
    for (const crash of crashes) this.#askedAtMs.set(crash, nowMs);
    return [{ type: "crash-query", crashes }];
  }

  /** Asks for the next records once those asked for have come. */
  #continueComparison(): CrashSyncMessage[] {
    if (!this.#isLimited || this.#askedAtMs.size > 0) return [];
    this.#isLimited = false;
    return [this.summary];
  }

  #answerAll(crashes: readonly string[]): CrashSyncMessage[] {
    const answers: CrashSyncMessage[] = [];
    let entries = 0;
    for (const crash of crashes) {
      const report = this.#evidence.reportOf(crash);
      if (report === null) continue;
      entries += report.requests.flat(2).length + report.cleared.length;
      if (answers.length > 0 && entries > ANSWER_LIMIT_ENTRIES) break;
      for (const message of crashMessagesOf(report))
        answers.push({ ...message, type: "crash-record" });
    }
    return answers;
  }
}

type DigestList = Extract<CrashSyncMessage, { readonly digests: unknown }>;
