/** Counters, gauges and summaries, exported as Prometheus text. */

import * as hdr from "hdr-histogram-js";

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Values of a gauge, by its label. */
export type LabelledValues = ReadonlyMap<string, number>;

/** Upper limit of a recorded duration: 10 minutes, in microseconds. */
const MAX_DURATION_US = 600_000_000;
const PERCENTILES = [50, 95, 99] as const;

/** All metrics of one process. */
export class MetricsRegistry {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #gauges = new Map<string, () => number>();
  readonly #labelledGauges = new Map<
    string,
    { readonly label: string; readonly read: () => LabelledValues }
  >();
  readonly #histograms = new Map<string, Map<string, hdr.Histogram>>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const series = getOrCreateSeries(this.#counters, name);
    const key = formatLabels(labels);
    series.set(key, (series.get(key) ?? 0) + amount);
  }

  /** Returns a counter's value; 0 when nothing was counted. */
  counter(name: string, labels: Labels = {}): number {
    return this.#counters.get(name)?.get(formatLabels(labels)) ?? 0;
  }

  /** Registers a gauge; `read` is called at each export. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Registers a gauge with one label; `read` returns the values by label. */
  gauges(name: string, label: string, read: () => LabelledValues): void {
    this.#labelledGauges.set(name, { label, read });
  }

  /** Records a duration in milliseconds; it is exported in seconds. */
  observe(name: string, ms: number, labels: Labels = {}): void {
    const series = getOrCreateSeries(this.#histograms, name);
    const key = formatLabels(labels);
    let histogram = series.get(key);
    if (histogram === undefined) {
      histogram = hdr.build({
        highestTrackableValue: MAX_DURATION_US,
        numberOfSignificantValueDigits: 2,
      });
      series.set(key, histogram);
    }
    histogram.recordValue(Math.min(MAX_DURATION_US, Math.max(1, ms * 1_000)));
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): string {
    const lines: string[] = [];
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [key, value] of series) lines.push(`${name}${key} ${value}`);
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`# TYPE ${name} gauge`, `${name} ${read()}`);
    }
    for (const [name, { label, read }] of this.#labelledGauges) {
      lines.push(`# TYPE ${name} gauge`);
      for (const [key, value] of read())
        lines.push(`${name}${formatLabels({ [label]: key })} ${value}`);
    }
    for (const [name, series] of this.#histograms) {
      lines.push(`# TYPE ${name} summary`);
      for (const [key, histogram] of series) {
        lines.push(...summaryLines(name, key, histogram));
      }
    }
    return `${lines.join("\n")}\n`;
  }
}

function getOrCreateSeries<T>(
  families: Map<string, Map<string, T>>,
  name: string,
): Map<string, T> {
  const existing = families.get(name);
  if (existing !== undefined) return existing;
  const series = new Map<string, T>();
  families.set(name, series);
  return series;
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

function summaryLines(
  name: string,
  key: string,
  histogram: hdr.Histogram,
): string[] {
  const otherLabels = key === "" ? "" : `${key.slice(1, -1)},`;
  const lines = PERCENTILES.map((percentile) => {
    const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
    return `${name}{${otherLabels}quantile="${percentile / 100}"} ${seconds}`;
  });
  const seconds = (histogram.mean * histogram.totalCount) / 1e6;
  lines.push(`${name}_sum${key} ${seconds}`);
  lines.push(`${name}_count${key} ${histogram.totalCount}`);
  return lines;
}
