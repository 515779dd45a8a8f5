import * as crypto from 'node:crypto';
import type { SettingsSection } from './Types.js';

/** Formats a settings file of a daemon. */
export function formatSettings(sections: Readonly<Record<string, SettingsSection>>): string {
  return Object.entries(sections)
    .map(([title, section]) => {
      const lines = Object.entries(section).map(([key, value]) => `${key} = ${value}`);
      return [`[${title}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}

/** Merges settings section by section; later values override earlier ones. */
export function mergeSettings(
  ...layers: readonly Readonly<Record<string, SettingsSection>>[]
): Readonly<Record<string, SettingsSection>> {
  const merged: Record<string, SettingsSection> = {};
  for (const layer of layers) {
    for (const [title, section] of Object.entries(layer)) {
      merged[title] = { ...merged[title], ...section };
    }
  }
  return merged;
}

/** Bearer key of a partner's caller or operator in tests. */
export function bearerKey(role: 'caller' | 'operator', partner: string): string {
  return `${role}-key-of-${partner}`;
}

/** Settings of the partners with one caller and one operator each. */
export function partnerSections(partners: readonly string[]): Readonly<Record<string, SettingsSection>> {
  const sections: Record<string, SettingsSection> = {};
  for (const partner of partners) {
    sections[`partner ${partner}`] = {};
    for (const role of ['caller', 'operator'] as const) {
      const key = crypto.createHash('sha256').update(bearerKey(role, partner)).digest('hex');
      sections[`${role} ${partner}-${role}`] = { partner, key_sha256: key };
    }
  }
  return sections;
}
