import * as fs from 'node:fs/promises';
import * as common from '@jayhaven/common';
import * as z from 'zod';
import type { EditRequest } from '../Types.js';

const { settings } = common;

const editSchema = z.strictObject({
  key: z.string().min(1),
  value: z.json(),
  reason: z.string().default(''),
  basedOn: z.number().int().min(0).nullable().optional(),
});

const fileSchema = z.union([z.array(editSchema), z.strictObject({ edits: z.array(editSchema) })]);

/** Reads a file of edits, JSON or INI by its extension. All problems are reported before anything is sent. */
export async function readEditFile(path: string): Promise<common.Outcome<readonly EditRequest[], readonly string[]>> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (error) {
    return common.fail([`${path}: file cannot be read: ${String(error)}`]);
  }
  const edits = path.endsWith('.json') ? parseJson(path, text) : parseIniEdits(path, text);
  return edits.ok && edits.value.length === 0 ? common.fail([`${path}: file has no edits`]) : edits;
}

/** Reads a value from the command line or an INI file: JSON if it parses as JSON, a string otherwise. */
export function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function parseJson(path: string, text: string): common.Outcome<readonly EditRequest[], readonly string[]> {
  let content: unknown;
  try {
    content = JSON.parse(text);
  } catch (error) {
    return common.fail([`${path}: ${String(error)}`]);
  }
  const parsed = fileSchema.safeParse(content);
  if (!parsed.success) {
    return common.fail([`${path}: expected a list of {"key", "value", "reason"}: ${z.prettifyError(parsed.error)}`]);
  }
  const edits = Array.isArray(parsed.data) ? parsed.data : parsed.data.edits;
  return common.succeed(
    edits.map(({ basedOn, ...edit }) => ({ ...edit, ...(basedOn === undefined ? {} : { basedOn }) })),
  );
}

function parseIniEdits(path: string, text: string): common.Outcome<readonly EditRequest[], readonly string[]> {
  const document = settings.parseIni(path, text);
  const checker = new settings.SectionChecker(document);
  const edits: EditRequest[] = [];
  for (const section of document.sections) {
    const fields = {
      value: settings.text(),
      reason: settings.text().optional(),
      based_on: settings.wholeNumber('offset', 0, Number.MAX_SAFE_INTEGER).optional(),
    };
    const values = checker.single(section.kind, fields);
    if (values) {
      const basedOn = values.based_on === undefined ? {} : { basedOn: values.based_on };
      edits.push({ key: section.kind, value: parseValue(values.value), reason: values.reason ?? '', ...basedOn });
    }
  }
  const problems = checker.problems.map(settings.formatSettingsProblem);
  return problems.length > 0 ? common.fail(problems) : common.succeed(edits);
}
