/** Straight lines through measurements. */

/** A line with how well it fits. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** 1 for a perfect fit. */
  readonly r2: number;
}

/** Least squares. */
export function fit(xs: readonly number[], ys: readonly number[]): Fit {
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(xs);
  const meanY = mean(ys);
  const products = xs.map((x, i) => (x - meanX) * ((ys[i] ?? 0) - meanY));
  const squares = xs.map((x) => (x - meanX) ** 2);
  const slope = mean(products) / mean(squares);
  const intercept = meanY - slope * meanX;
  const residual = mean(
    xs.map((x, i) => ((ys[i] ?? 0) - intercept - slope * x) ** 2),
  );
  const total = mean(ys.map((y) => (y - meanY) ** 2));
  return { slope, intercept, r2: total === 0 ? 1 : 1 - residual / total };
}
