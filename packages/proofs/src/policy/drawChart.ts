/** Draws the trade-off between tail cold-start time and idle accelerator hours as an SVG. */
import { placeLabels } from './placeLabels.js';
import { tailRatio, type VariantSummary } from './summarize.js';
import type { VariantFamily } from './variants.js';

const width = 860;
const height = 560;
const plot = { left: 80, right: 620, top: 60, bottom: 490 };
const styles: Readonly<
  Record<VariantFamily, { readonly color: string; readonly label: string; readonly dash: string }>
> = {
  never: { color: '#555555', label: 'never unload', dash: '' },
  fixed: { color: '#0b5fa5', label: 'fixed keep-alive', dash: '' },
  leastRecentlyUsed: { color: '#a05a00', label: 'least recently used (LRU)', dash: '' },
  histogram: { color: '#b3123f', label: 'histogram, by setting', dash: '' },
  histogramWeight: { color: '#2c7a3f', label: 'histogram, by weight', dash: '6 4' },
};

interface Point {
  readonly name: string;
  readonly idle: number;
  readonly tail: number;
}

/** Returns an SVG document with one line per family of policies; both axes are ratios to the reference. */
export function drawChart(title: string, summaries: readonly VariantSummary[], referenceName: string): string {
  const points = new Map<VariantFamily, Point[]>();
  for (const summary of summaries) {
    const point = { name: summary.name, idle: summary.ratios.idleHours.mean, tail: tailRatio(summary) };
    points.set(summary.family, [...(points.get(summary.family) ?? []), point]);
  }
  const plotted = [...points].filter(([family]) => family !== 'never').flatMap(([, list]) => list);
  const range = {
    idle: paddedRange(plotted.map((point) => point.idle)),
    tail: paddedRange(plotted.map((point) => point.tail)),
  };
  const x = (idle: number): number => scale(idle, range.idle, plot.left, plot.right);
  const y = (tail: number): number => scale(tail, range.tail, plot.bottom, plot.top);
  const never = points.get('never')?.[0];
  const body = [
    `<text x="${plot.left}" y="32" font-size="18">${title}</text>`,
    ...axes(range, x, y),
    ...[...points].flatMap(([family, list]) => (family === 'never' ? [] : series(family, list, x, y))),
    ...labels(points, x, y),
    ...legend([...points.keys()], never),
    `<text x="${plot.left}" y="${height - 12}" font-size="12">Ratios to ${referenceName} on the same arrivals; lower left is better.</text>`,
  ];
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" font-family="sans-serif" fill="#222222">`,
    `<rect width="${width}" height="${height}" fill="#ffffff"/>`,
    ...body,
    '</svg>',
    '',
  ].join('\n');
}

function series(family: VariantFamily, list: readonly Point[], x: Scale, y: Scale): string[] {
  const { color, dash } = styles[family];
  const path = list.map((point) => `${x(point.idle).toFixed(1)},${y(point.tail).toFixed(1)}`).join(' ');
  const dashes = dash === '' ? '' : ` stroke-dasharray="${dash}"`;
  const line = `<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"${dashes}/>`;
  const marks = list.map(
    (point) => `<circle cx="${x(point.idle).toFixed(1)}" cy="${y(point.tail).toFixed(1)}" r="4.5" fill="${color}"/>`,
  );
  return list.length > 1 ? [line, ...marks] : marks;
}

function labels(points: ReadonlyMap<VariantFamily, readonly Point[]>, x: Scale, y: Scale): string[] {
  const labelled = [...points].flatMap(([family, list]) =>
    family === 'never'
      ? []
      : list.map((point) => ({ x: x(point.idle), y: y(point.tail), label: shortName(point.name), family })),
  );
  return placeLabels(labelled).map(({ label, labelX, labelY }, index) => {
    const { color } = styles[labelled[index]?.family ?? 'never'];
    const at = `x="${labelX.toFixed(1)}" y="${labelY.toFixed(1)}"`;
    return `<text ${at} font-size="11" text-anchor="middle" fill="${color}">${label}</text>`;
  });
}

function shortName(name: string): string {
  return name
    .replace('least recently used', 'LRU')
    .replace('histogram weight', 'weight')
    .replace(/^(fixed|histogram) /, '');
}

function axes(range: { readonly idle: Range; readonly tail: Range }, x: Scale, y: Scale): string[] {
  const lines = [
    `<path d="M${plot.left} ${plot.top}V${plot.bottom}H${plot.right}" fill="none" stroke="#222222"/>`,
    `<text x="${(plot.left + plot.right) / 2}" y="${plot.bottom + 40}" font-size="13" text-anchor="middle">idle accelerator hours (ratio)</text>`,
    `<text transform="translate(24 ${(plot.top + plot.bottom) / 2}) rotate(-90)" font-size="13" text-anchor="middle">tail cold-start time, p95 and p99 over all requests (ratio)</text>`,
  ];
  for (const value of ticks(range.idle)) {
    lines.push(
      `<path d="M${x(value).toFixed(1)} ${plot.top}V${plot.bottom + 5}" stroke="#dddddd"/>`,
      `<text x="${x(value).toFixed(1)}" y="${plot.bottom + 19}" font-size="11" text-anchor="middle">${value.toFixed(2)}</text>`,
    );
  }
  for (const value of ticks(range.tail)) {
    lines.push(
      `<path d="M${plot.left - 5} ${y(value).toFixed(1)}H${plot.right}" stroke="#dddddd"/>`,
      `<text x="${plot.left - 9}" y="${(y(value) + 4).toFixed(1)}" font-size="11" text-anchor="end">${value.toFixed(2)}</text>`,
    );
  }
  return lines;
}

function legend(families: readonly VariantFamily[], never: Point | undefined): string[] {
  const left = plot.right + 24;
  const lines = families
    .filter((family) => family !== 'never')
    .flatMap((family, index) => {
      const top = plot.top + 16 + index * 24;
      const { color, label } = styles[family];
      return [
        `<circle cx="${left}" cy="${top}" r="4.5" fill="${color}"/>`,
        `<text x="${left + 14}" y="${top + 4}" font-size="13">${label}</text>`,
      ];
    });
  if (never !== undefined) {
    const top = plot.top + 40 + families.length * 24;
    lines.push(
      `<text x="${left - 6}" y="${top}" font-size="12">Outside the chart: never unload,</text>`,
      `<text x="${left - 6}" y="${top + 16}" font-size="12">idle ${never.idle.toFixed(2)}, tail ${never.tail.toFixed(2)}</text>`,
    );
  }
  return lines;
}

type Scale = (value: number) => number;
type Range = readonly [number, number];

function scale(value: number, [low, high]: Range, from: number, to: number): number {
  return from + ((value - low) / (high - low)) * (to - from);
}

function paddedRange(values: readonly number[]): Range {
  const [low, high] = [Math.min(...values), Math.max(...values)];
  const padding = Math.max(0.02, (high - low) * 0.08);
  return [low - padding, high + padding];
}

function ticks([low, high]: Range): number[] {
  const step = [0.02, 0.05, 0.1, 0.2, 0.25, 0.5, 1, 2].find((candidate) => (high - low) / candidate <= 9) ?? 5;
  const values: number[] = [];
  for (let value = Math.ceil(low / step) * step; value <= high; value += step) {
    values.push(value);
  }
  return values;
}
