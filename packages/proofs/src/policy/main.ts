/** Compares the policies, and writes the figures and charts into the documentation. */
import * as fs from 'node:fs/promises';
import { drawChart } from './drawChart.js';
import { formatTable } from './formatTable.js';
import { cascade, solano } from './partners.js';
import { runJobs } from './runJobs.js';
import { summarizePartner } from './summarize.js';
import { referenceName, variants } from './variants.js';

const seeds = [1, 2, 3, 4, 5];
const threads = 4;
const documentation = new URL('../../../../docs/', import.meta.url);
const partners = [solano, cascade];

const jobs = partners.flatMap(({ partner }) =>
  seeds.flatMap((seed) => variants.map((variant) => ({ partner, seed, variant }))),
);
const results = await runJobs(jobs, threads);
await fs.mkdir(new URL('measurements/', documentation), { recursive: true });
await fs.mkdir(new URL('images/', documentation), { recursive: true });
const summaries = partners.map((specification) => ({
  partner: specification.partner,
  coldStartWeight: specification.coldStartWeight,
  variants: summarizePartner(specification, results),
}));
for (const { partner, variants: summary } of summaries) {
  process.stdout.write(`${formatTable(partner, summary)}\n`);
  const chart = drawChart(`${partner}: cold starts against idle memory`, summary, referenceName);
  await fs.writeFile(new URL(`images/policy-${partner}.svg`, documentation), chart);
}
const figures = { seeds: seeds.join(', '), reference: referenceName, summaries, runs: results };
await fs.writeFile(new URL('measurements/policy.json', documentation), `${JSON.stringify(figures, undefined, 2)}\n`);
