/** Checks the sections of an INI document against zod schemas and collects every problem. */
import type * as z from 'zod';
import { nameFormat } from './fields.js';
import { nearestName } from './nearestName.js';
import type { IniDocument, IniSection, SettingsProblem } from './Types.js';

/** Schemas of the keys of one kind of section. */
export type SectionFields = Readonly<Record<string, z.ZodType>>;

/** Checked values of a section. */
export type SectionValues<Fields extends SectionFields> = { readonly [Key in keyof Fields]: z.output<Fields[Key]> };

/** A checked section with its name. */
export interface NamedValues<Fields extends SectionFields> {
  readonly name: string;
  readonly section: IniSection;
  readonly values: SectionValues<Fields>;
}

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Reads sections of a document and collects their problems. A section with a problem has no values. */
export class SectionChecker {
  private readonly _problems: SettingsProblem[];

  public constructor(private readonly _document: IniDocument) {
    this._problems = [..._document.problems];
  }

  /** Problems found so far, in the order of the file. */
  public get problems(): readonly SettingsProblem[] {
    const last = Number.MAX_SAFE_INTEGER;
    return [...this._problems].sort((first, second) => (first.line ?? last) - (second.line ?? last));
  }

  /** Reports sections of unknown kinds and suggests the nearest known one. */
  public reportUnknownSections(known: readonly string[]): void {
    for (const section of this._document.sections) {
      if (!known.includes(section.kind)) {
        this.report({
          section: section.title,
          line: section.line,
          message: withSuggestion('unknown section', section.kind, known),
          expected: known.map((kind) => `[${kind}]`).join(' '),
        });
      }
    }
  }

  /** Reads the only section of a kind. A missing section is treated as an empty one. */
  public single<Fields extends SectionFields>(kind: string, fields: Fields): SectionValues<Fields> | undefined {
    const sections = this._document.sections.filter((section) => section.kind === kind);
    for (const section of sections.filter((candidate) => candidate.name !== '')) {
      this.report({
        section: section.title,
        line: section.line,
        message: 'section takes no name',
        expected: `[${kind}]`,
      });
    }
    return this._values(sections[0], kind, fields);
  }

  /** Reads every section `[kind NAME]`. */
  public named<Fields extends SectionFields>(kind: string, fields: Fields): readonly NamedValues<Fields>[] {
    const found: NamedValues<Fields>[] = [];
    for (const section of this._document.sections.filter((candidate) => candidate.kind === kind)) {
      if (!namePattern.test(section.name)) {
        const message = section.name === '' ? 'section needs a name' : `"${section.name}" is not a valid name`;
        this.report({ section: section.title, line: section.line, message, expected: `[${kind} NAME], ${nameFormat}` });
      }
      const values = this._values(section, section.title, fields);
      if (values) {
        found.push({ name: section.name, section, values });
      }
    }
    return found;
  }

  /** Returns the line of a key, or of its section if the key is absent. */
  public lineOf(title: string, key: string): { readonly line?: number } {
    const section = this._document.sections.find((candidate) => candidate.title === title);
    const line = section?.entries.find((entry) => entry.key === key)?.line ?? section?.line;
    return line === undefined ? {} : { line };
  }

  /** Adds a problem, for example one of a check that involves several keys. */
  public report(problem: Omit<SettingsProblem, 'file'>): void {
    this._problems.push({ file: this._document.file, ...problem });
  }

  private _values<Fields extends SectionFields>(
    section: IniSection | undefined,
    title: string,
    fields: Fields,
  ): SectionValues<Fields> | undefined {
    const problemsBefore = this._problems.length;
    this._reportUnknownKeys(section, Object.keys(fields));
    const values: Record<string, unknown> = {};
    for (const [key, schema] of Object.entries(fields)) {
      const entry = section?.entries.find((candidate) => candidate.key === key);
      const result = schema.safeParse(entry?.value);
      const line = entry?.line ?? section?.line;
      if (result.success) {
        values[key] = result.data;
      } else {
        const message = entry === undefined ? 'required key is missing' : `"${entry.value}" is not valid`;
        const expected = entry === undefined ? expectedFormat(schema) : result.error.issues[0]?.message;
        this.report({ section: title, key, ...(line ? { line } : {}), message, ...(expected ? { expected } : {}) });
      }
    }
    return this._problems.length === problemsBefore ? (values as SectionValues<Fields>) : undefined;
  }

  private _reportUnknownKeys(section: IniSection | undefined, known: readonly string[]): void {
    for (const { key, line } of section?.entries ?? []) {
      if (!known.includes(key)) {
        this.report({ section: section?.title ?? '', key, line, message: withSuggestion('unknown key', key, known) });
      }
    }
  }
}

function withSuggestion(problem: string, name: string, known: readonly string[]): string {
  const nearest = nearestName(name, known);
  return nearest === undefined ? `${problem} "${name}"` : `${problem} "${name}"; did you mean "${nearest}"?`;
}

/** Returns the expected format of a missing key: the error message for text that is never valid. */
function expectedFormat(schema: z.ZodType): string | undefined {
  return schema.safeParse('\u0000').error?.issues[0]?.message;
}
