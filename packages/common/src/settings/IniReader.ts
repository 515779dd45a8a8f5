/** Parses INI text into sections with line numbers, which `ini.parse` does not provide. */
import * as ini from 'ini';
import type { IniDocument, IniEntry, IniSection, SettingsProblem } from './Types.js';

interface MutableSection extends IniSection {
  readonly entries: IniEntry[];
}

/** Parses INI text. Duplicate sections and keys, malformed lines and lists (`key[]`) are reported as problems. */
export function parseIni(file: string, text: string): IniDocument {
  const problems: SettingsProblem[] = [];
  const sections: MutableSection[] = [];
  for (const [index, rawLine] of text.split(/\r\n|\r|\n/).entries()) {
    const line = index + 1;
    const content = rawLine.trim();
    if (content === '' || content.startsWith(';') || content.startsWith('#')) {
      continue;
    }
    const problem = content.startsWith('[')
      ? addSection(sections, content, line)
      : addEntry(sections.at(-1), content, line);
    if (problem) {
      problems.push({ file, section: sections.at(-1)?.title ?? '', line, ...problem });
    }
  }
  return { file, sections, problems };
}

type LineProblem = Pick<SettingsProblem, 'message' | 'expected' | 'key'>;

function addSection(sections: MutableSection[], content: string, line: number): LineProblem | undefined {
  const match = /^\[\s*([^\]\s]+)(?:\s+([^\]]*?))?\s*\]\s*(?:[;#].*)?$/.exec(content);
  if (!match) {
    return { message: `"${content}" is not a section`, expected: '[section] or [section NAME]' };
  }
  const kind = match[1] ?? '';
  const name = match[2] ?? '';
  const title = name === '' ? kind : `${kind} ${name}`;
  const first = sections.find((section) => section.title === title);
  sections.push({ title, kind, name, line, entries: [] });
  return first ? { message: `section is already defined in line ${first.line}` } : undefined;
}

function addEntry(section: MutableSection | undefined, content: string, line: number): LineProblem | undefined {
  // `ini` unquotes and unescapes one line at a time, so that the line number of each setting is known.
  const [pair] = Object.entries<unknown>(ini.parse(content));
  if (!pair || !content.includes('=')) {
    return { message: `"${content}" is not a setting`, expected: 'key = value' };
  }
  const [key, value] = pair;
  if (!section) {
    return { key, message: 'setting stands before the first section' };
  }
  if (Array.isArray(value) || (typeof value === 'object' && value !== null)) {
    return {
      key,
      message: 'lists in brackets are not supported',
      expected: 'one value, or values separated by commas',
    };
  }
  const first = section.entries.find((entry) => entry.key === key);
  if (first) {
    return { key, message: `key is already set in line ${first.line}` };
  }
  section.entries.push({ key, value: String(value), line });
  return undefined;
}
