/** Reads the platform's VM list (Prometheus HTTP service discovery). */
import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';

const listSchema = zod.array(
  zod.object({
    targets: zod.array(zod.string()),
    labels: zod.looseObject({
      vm: zod.string().min(1),
      failure_domain: zod.string(),
      state: zod.enum(['live', 'leaving']),
      role: zod.enum(['engine', 'service', 'entry']),
      service: zod.string().optional(),
      accelerators: zod.string().optional(),
      fencing: zod.enum(['checked', 'ignored']).optional(),
    }),
  }),
);

type ListEntry = zod.infer<typeof listSchema>[number];

/** A VM in the list. */
export interface ListedVm {
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly state: 'live' | 'leaving';
  readonly targets: readonly decisions.TargetDescription[];
}

/** Parses a list; undefined if it is malformed. Entries of the same VM are merged. */
export function parseVmList(body: unknown): ReadonlyMap<common.VmName, ListedVm> | undefined {
  const parsed = listSchema.safeParse(body);
  if (!parsed.success) {
    return undefined;
  }
  const vms = new Map<common.VmName, ListedVm>();
  for (const entry of parsed.data) {
    const { vm, failure_domain: failureDomain, state } = entry.labels;
    const existing = vms.get(vm);
    vms.set(vm, {
      vm,
      failureDomain,
      state: existing?.state === 'leaving' ? 'leaving' : state,
      targets: [...(existing?.targets ?? []), ...toTargets(entry)],
    });
  }
  return vms;
}

/** Whether the log already has the listed state of a VM. */
export function isSameVm(listed: ListedVm, known: decisions.VmEntry | undefined): boolean {
  return (
    known?.state === listed.state &&
    listed.failureDomain === known.failureDomain &&
    JSON.stringify(listed.targets) === JSON.stringify(known.targets)
  );
}

function toTargets(entry: ListEntry): readonly decisions.TargetDescription[] {
  const { role, service, accelerators, fencing } = entry.labels;
  if (role === 'entry') {
    return [];
  }
  return entry.targets.map((address) => ({
    address,
    role,
    ...(service === undefined ? {} : { service }),
    acceleratorBytes: (accelerators ?? '')
      .split(',')
      .filter((text) => text.trim() !== '')
      .map(Number)
      .filter((bytes) => Number.isFinite(bytes) && bytes > 0),
    // Without the label, an engine is assumed not to check fencing tokens.
    fencing: fencing ?? 'ignored',
  }));
}
