/** Counters, gauges and distributions, written as Prometheus text. */

import * as hdr from "hdr-histogram-js";

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Largest value a distribution holds, in microseconds. */
const HIGHEST_US = 600_000_000;
const QUANTILES = [50, 95, 99] as const;

/** Named series of one process. */
export class Registry {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Map<string, hdr.Histogram>>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const series = seriesOf(this.#counters, name);
    const key = keyOf(labels);
    series.set(key, (series.get(key) ?? 0) + amount);
  }

  /** Returns a counter's value; 0 when nothing was counted. */
  counter(name: string, labels: Labels = {}): number {
    return this.#counters.get(name)?.get(keyOf(labels)) ?? 0;
  }

  /** Registers a value that is read when metrics are asked for. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a duration in milliseconds. */
  observe(name: string, ms: number, labels: Labels = {}): void {
    const series = seriesOf(this.#histograms, name);
    const key = keyOf(labels);
    let histogram = series.get(key);
    if (histogram === undefined) {
      histogram = hdr.build({
        highestTrackableValue: HIGHEST_US,
        numberOfSignificantValueDigits: 2,
      });
      series.set(key, histogram);
    }
    histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, ms * 1_000)));
  }

  /** Returns everything in Prometheus text format. */
  text(): string {
    const lines: string[] = [];
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [key, value] of series) lines.push(`${name}${key} ${value}`);
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`# TYPE ${name} gauge`, `${name} ${read()}`);
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

function seriesOf<T>(
  families: Map<string, Map<string, T>>,
  name: string,
): Map<string, T> {
  const known = families.get(name);
  if (known !== undefined) return known;
  const series = new Map<string, T>();
  families.set(name, series);
  return series;
}

function keyOf(labels: Labels): string {
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
  const inner = key === "" ? "" : `${key.slice(1, -1)},`;
  const lines = QUANTILES.map((percentile) => {
    const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
    return `${name}{${inner}quantile="${percentile / 100}"} ${seconds}`;
  });
  const seconds = (histogram.mean * histogram.totalCount) / 1e6;
  lines.push(`${name}_sum${key} ${seconds}`);
  lines.push(`${name}_count${key} ${histogram.totalCount}`);
  return lines;
}
