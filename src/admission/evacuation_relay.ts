/** Which zones are emptied, as routers tell; passes it on to the others. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import {
  type EvacuationChange,
  packEvacuations,
  unpackEvacuations,
  ZoneEvacuations,
} from "../directory/mod.ts";
import type { EvacuationsReport } from "../protocol/mod.ts";

/** A connected router. */
export interface EvacuationReceiver {
  sendReport(report: EvacuationsReport): void;
}

/** Dependencies of an `EvacuationRelay`. */
export interface EvacuationRelayDependencies<R extends EvacuationReceiver> {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called with news; passes it on to all routers but the one it is from. */
  onNews(report: EvacuationsReport, from: R): void;
}

/** Keeps the newest state that any router has told. */
export class EvacuationRelay<R extends EvacuationReceiver> {
  readonly #deps: EvacuationRelayDependencies<R>;
  /** The newest state; its listeners are called before `onNews`. */
  readonly evacuations: ZoneEvacuations;

  constructor(deps: EvacuationRelayDependencies<R>) {
    this.#deps = deps;
    this.evacuations = new ZoneEvacuations(deps.clock);
    this.evacuations.onChange((change) => this.#log(change));
  }

  /** Passes news on; a router that knows an older state is told the newest. */
  receive(report: EvacuationsReport, from: R): void {
    const learnt = this.evacuations.learn(unpackEvacuations(report), "relay");
    switch (learnt) {
      case "news":
        this.#deps.onNews(report, from);
        return;
      case "outdated":
        this.tell(from);
        return;
      case "known":
        return;
      default:
        learnt satisfies never;
    }
  }

  /** Tells a router what is known, if anything is. */
  tell(router: R): void {
    const { current } = this.evacuations;
    if (current !== null) router.sendReport(packEvacuations(current));
  }

  #log({ emptied, returned, source, ageMs }: EvacuationChange): void {
    const { events } = this.#deps;
    const fields = { source, ageMs: Math.round(ageMs) };
    for (const zone of emptied)
      events.info("zone-emptied", { zone, ...fields });
    for (const zone of returned)
      events.info("zone-returned", { zone, ...fields });
  }
}
