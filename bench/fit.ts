/** Linear regression. */

/** A straight line and how well it fits the points. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination; 1 for a perfect fit. */
  readonly r2: number;
}

/** Fits a line by least squares. */
export function fitLine(xs: readonly number[], ys: readonly number[]): Fit {
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
