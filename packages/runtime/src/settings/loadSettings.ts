import { readFile } from 'node:fs/promises';
import type { z } from 'zod';
import { listSettingsProblems } from './listSettingsProblems.js';
import { toJsonSchema } from './jsonSchema.js';
import { SettingsError } from './settingsError.js';

/** Maximum size of a settings file, in bytes. */
const MAX_SETTINGS_BYTES = 4 * 1024 * 1024;

/** Options of `loadSettings`. */
export interface LoadSettingsOptions {
  /** Aborts the read. */
  readonly signal?: AbortSignal;
}

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

const failReading = (file: string, found: string, allowed: string): never => {
  throw new SettingsError(file, [{ path: '', found, allowed }]);
};

const readSettingsText = async (file: string, options: LoadSettingsOptions): Promise<string> => {
  try {
    const text = await readFile(file, { encoding: 'utf8', ...options });
    if (Buffer.byteLength(text) <= MAX_SETTINGS_BYTES) return text;
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return failReading(file, `no readable file (${code ?? 'unknown'})`, 'allowed: a JSON file');
  }
  return failReading(file, 'a larger file', `allowed: at most ${MAX_SETTINGS_BYTES} bytes`);
};

const parseSettingsText = (file: string, text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    // JSON.parse may quote the text, which may contain a secret, so only the position is shown.
    const position = /position \d+( \(line \d+ column \d+\))?/.exec((error as Error).message)?.[0];
    return failReading(
      file,
      `broken JSON${position ? ` at ${position}` : ''}`,
      'allowed: a JSON object',
    );
  }
};

/** Reads and parses a JSON settings file. @throws SettingsError that lists all problems */
export const loadSettings = async <Schema extends z.ZodType>(
  schema: Schema,
  file: string,
  options: LoadSettingsOptions = {},
): Promise<z.output<Schema>> =>
  parseSettings(schema, parseSettingsText(file, await readSettingsText(file, options)), file);
