/** Fair queueing among teams: meters, cost estimates, and shared ledger. */

export { Estimator, type Expectation } from "./cost_estimator.ts";
export { Ledger } from "./ledger.ts";
export { type LedgerEntry, pack, unpack } from "./ledger_entry.ts";
export { failedCost, runningCost, type Usage } from "./meter.ts";
export { RecentService } from "./recent_service.ts";
export { CounterSpread } from "./update_publisher.ts";
