/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line fitted to measured points, with the quality of the fit. */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, in units of y. */
  readonly residual: number;
  /** Standard error of the slope; null with fewer than three points. */
  readonly slopeError: number | null;
  readonly points: number;
}

/** Fits a line by least squares. Returns undefined if all points have the same x. */
export function fitLine(points: readonly Point[]): FittedLine | undefined {
  const count = points.length;
  const meanX = sum(points.map(({ x }) => x)) / count;
  const meanY = sum(points.map(({ y }) => y)) / count;
  const spreadX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (count < 2 || spreadX === 0) {
    return undefined;
  }
  const slope = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / spreadX;
  const intercept = meanY - slope * meanX;
  const squares = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  const slopeError = count > 2 ? Math.sqrt(squares / (count - 2) / spreadX) : null;
  return { slope, intercept, residual: Math.sqrt(squares / count), slopeError, points: count };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
