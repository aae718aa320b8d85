import type { z } from 'zod';
import { listSettingsProblems } from './listSettingsProblems.js';
import { toJsonSchema } from './jsonSchema.js';
import { UnreadableSettingsError, readSettingsFile } from './readSettingsFile.js';
import type { ReadSettingsOptions } from './readSettingsFile.js';
import { SettingsError } from './settingsError.js';

/** Parses a value with a schema. @throws SettingsError that lists all problems */
export const parseSettings = <Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  source: string,
): z.output<Schema> => {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const problems = listSettingsProblems(result.error.issues, value, toJsonSchema(schema));
  throw new SettingsError(source, problems);
};

/** Reads and parses a JSON settings file. @throws SettingsError that lists all problems */
export const loadSettings = async <Schema extends z.ZodType>(
  schema: Schema,
  file: string,
  options: ReadSettingsOptions = {},
): Promise<z.output<Schema>> => {
  let value: unknown;
  try {
    value = await readSettingsFile(file, options);
  } catch (error) {
    if (!(error instanceof UnreadableSettingsError)) throw error;
    throw new SettingsError(file, [{ path: '', ...error.problem }]);
  }
  return parseSettings(schema, value, file);
};
