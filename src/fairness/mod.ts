/** Fair queueing among teams: meters, cost estimates, and shared ledger. */

export { CostEstimator, type CostFactors } from "./cost_estimator.ts";
export { Ledger } from "./ledger.ts";
export { type LedgerEntry, packEntry, unpackEntry } from "./ledger_entry.ts";
export { failedCost, type Usage, usageCost } from "./meter.ts";
export { RecentUsage } from "./recent_usage.ts";
export { TeamShares } from "./team_shares.ts";
export { TeamTally } from "./team_tally.ts";
export { UpdatePublisher } from "./update_publisher.ts";
