/** Asks admission controllers how streams began. */

import {
  isCompatible,
  type OriginRecord,
  unpackOrigin,
} from "../origins/mod.ts";
import type {
  OriginAnswer,
  OriginNotice,
  OriginQuery,
} from "../protocol/mod.ts";

/**
 * Time within which admission controllers answer: many round trips between
 * zones. The caller waits for it while one of them is gone unnoticed.
 */
const ANSWER_TIMEOUT_MS = 200;

/** A connected admission controller. */
export interface OriginHolder {
  /** Its host. */
  readonly id: string;
  send(message: OriginNotice | OriginQuery): void;
}

/** What each admission controller knows that has answered; null for nothing. */
export type OriginAnswers = readonly (OriginRecord | null)[];

/** A question that not all have answered. */
interface PendingQuery {
  readonly answers: Promise<OriginAnswers>;
  readonly receive: (record: OriginRecord | null) => void;
}

/** The questions of one router. */
export class OriginQueries {
  readonly #pending = new Map<string, PendingQuery>();

  /** Resolves once all have answered, or after `ANSWER_TIMEOUT_MS`. */
  async ask(
    request: string,
    holders: readonly OriginHolder[],
  ): Promise<OriginAnswers> {
    if (holders.length === 0) return [];
    const pending = this.#pending.get(request);
    if (pending !== undefined) return pending.answers;
    const query = createQuery(holders.length);
    this.#pending.set(request, query);
    for (const holder of holders)
      holder.send({ type: "origin-query", request });
    const answers = await query.answers;
    this.#pending.delete(request);
    return answers;
  }

  /** Handles an admission controller's answer. */
  receive(answer: OriginAnswer): void {
    this.#pending.get(answer.request)?.receive(unpackOrigin(answer));
  }
}

/** The record on which all agree that know one; null if nobody does. */
export function agreedRecord(answers: OriginAnswers): OriginRecord | null {
  let agreed: OriginRecord | null = null;
  for (const record of answers) {
    if (record === null) continue;
    if (record.type === "ambiguous") return record;
    if (agreed?.type === "known" && !isCompatible(agreed.origin, record.origin))
      return { type: "ambiguous" };
    agreed = record;
  }
  return agreed;
}

function createQuery(expected: number): PendingQuery {
  const received: (OriginRecord | null)[] = [];
  let finish = () => {};
  const answers = new Promise<OriginAnswers>((resolve) => {
    const timer = setTimeout(() => finish(), ANSWER_TIMEOUT_MS);
    finish = () => {
      clearTimeout(timer);
      resolve([...received]);
    };
  });
  const receive = (record: OriginRecord | null) => {
    received.push(record);
    if (received.length === expected) finish();
  };
  return { answers, receive };
}
