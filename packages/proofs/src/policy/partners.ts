/** Workloads of the two partners at the current scale (section 1.6 of docs/design.md). */
import type { PartnerSpecification } from './Types.js';

export const solano: PartnerSpecification = {
  partner: 'solano',
  models: { popular: 6, sessions: 24, regular: 15, rare: 12, once: 8 },
  adapters: 100,
  engines: [1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2],
  failureDomains: 3,
  ownerLoadsPerSecond: 4,
  storeLoadsPerSecond: 5,
  // Crews start early, and there are few requests at night.
  hourlyRates: [
    0.02, 0.02, 0.02, 0.05, 0.3, 0.9, 1.6, 1.8, 1.5, 1.2, 1.1, 1.2, 0.9, 1.1, 1.2, 1.2, 1.1, 0.9, 0.6, 0.4, 0.2, 0.1,
    0.05, 0.03,
  ],
  batchShare: 0.1,
  coldStartWeight: 0.8,
};

export const cascade: PartnerSpecification = {
  partner: 'cascade',
  models: { popular: 3, sessions: 11, regular: 7, rare: 5, once: 4 },
  adapters: 60,
  engines: [1, 1, 1, 1, 2, 2],
  failureDomains: 4,
  ownerLoadsPerSecond: 3,
  storeLoadsPerSecond: 4,
  // Counters are open during office hours, and review packets run in the late evening.
  hourlyRates: [
    0.05, 0.05, 0.02, 0.02, 0.02, 0.02, 0.1, 0.5, 1.4, 1.8, 1.7, 1.5, 1, 1.4, 1.6, 1.5, 1.2, 0.7, 0.3, 0.2, 0.5, 0.6,
    0.4, 0.2,
  ],
  batchShare: 0.25,
  coldStartWeight: 0.3,
};
