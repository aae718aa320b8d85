import { rowSchema } from '@goldcrestscale/core';
import type { Row, RowKind } from '@goldcrestscale/core';
import { toJsonSchema, CliError, exitCodes, parseSettings } from '@goldcrestscale/runtime';
import type { JsonSchemaNode } from '@goldcrestscale/runtime';
import { z } from 'zod';

/** Fields of a row before schema validation. */
export type RowFields = Readonly<Record<string, unknown>>;

const IDENTITY_FIELDS: ReadonlySet<string> = new Set(['kind', 'id']);

const schemaByKind = new Map(rowSchema.options.map((schema) => [schema.shape.kind.value, schema]));

const getRowSchema = (kind: RowKind): z.ZodType<Row> => schemaByKind.get(kind) as z.ZodType<Row>;

/** Validates the fields of a row. @throws SettingsError with every problem */
export const parseRow = (kind: RowKind, fields: RowFields, source: string): Row =>
  parseSettings(getRowSchema(kind), { ...fields, kind }, source);

const parseFieldValue = (text: string, node: JsonSchemaNode | undefined): unknown => {
  if (node?.type === 'string') return text;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
};

const failUsage = (message: string): never => {
  throw new CliError(message, exitCodes.usage);
};

/**
 * Parses "field=value" arguments; an empty value removes the field.
 *
 * @throws CliError `usage`
 */
export const parseFieldArguments = (
  kind: RowKind,
  args: readonly string[],
): Map<string, unknown> => {
  const properties = toJsonSchema(getRowSchema(kind)).properties ?? {};
  const fields = new Map<string, unknown>();
  for (const arg of args) {
    const [name = '', ...rest] = arg.split('=');
    if (rest.length === 0 || name === '')
      failUsage(`"${arg}" is not a field assignment; use FIELD=VALUE`);
    if (IDENTITY_FIELDS.has(name))
      failUsage(`"${name}" can't be set; delete the row and create a new one`);
    const text = rest.join('=');
    const node = Object.entries(properties).find(([fieldName]) => fieldName === name)?.[1];
    fields.set(name, text === '' ? undefined : parseFieldValue(text, node));
  }
  return fields;
};

/** Merges fields into a row; an undefined value removes the field. */
export const mergeFields = (row: RowFields, fields: ReadonlyMap<string, unknown>): RowFields =>
  Object.fromEntries(
    [...Object.entries(row).filter(([name]) => !fields.has(name)), ...fields].filter(
      ([, value]) => value !== undefined,
    ),
  );
