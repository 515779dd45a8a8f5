/** Formats summaries as a table for the terminal. */
import type { Spread, VariantSummary } from './summarize.js';

/** Returns a Markdown table with mean and spread of each measure. */
export function formatTable(partner: string, summaries: readonly VariantSummary[]): string {
  const header =
    '| policy | p95 s | p99 s | p95 ratio | p99 ratio | cold p95 | cold p99 | idle h | idle ratio | refused | score |';
  const rule = `|${' --- |'.repeat(11)}`;
  const lines = summaries.map((summary) => {
    const { values, ratios } = summary;
    const cells = [
      summary.name,
      (values.allP95.mean / 1_000).toFixed(1),
      (values.allP99.mean / 1_000).toFixed(1),
      formatSpread(ratios.allP95),
      formatSpread(ratios.allP99),
      formatSpread(ratios.coldP95),
      formatSpread(ratios.coldP99),
      values.idleHours.mean.toFixed(1),
      formatSpread(ratios.idleHours),
      `${(summary.refusedShare.mean * 100).toFixed(2)} %`,
      formatSpread(summary.score),
    ];
    return `| ${cells.join(' | ')} |`;
  });
  return [`### ${partner}`, '', header, rule, ...lines, ''].join('\n');
}

function formatSpread(spread: Spread): string {
  return `${spread.mean.toFixed(2)} (${spread.lowest.toFixed(2)}–${spread.highest.toFixed(2)})`;
}
