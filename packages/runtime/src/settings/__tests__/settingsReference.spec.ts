import { expect, test } from 'vitest';
import { z } from 'zod';
import {
  listSettingsFields,
  listUndocumentedFields,
  renderSettingsReference,
  secretReferenceSchema,
} from '../index.js';

const schema = z.strictObject({
  port: z.number().int().min(1).max(9).describe('Port | number.'),
  mode: z.enum(['a', 'b']).default('a').describe('Mode.'),
  names: z.array(z.string()).max(3).optional().describe('Names.'),
  key: secretReferenceSchema,
  parts: z
    .array(
      z.discriminatedUnion('type', [
        z.strictObject({ type: z.literal('x'), size: z.number().describe('Size.') }),
        z.strictObject({ type: z.literal('y'), bare: z.number() }),
      ]),
    )
    .describe('Parts.'),
});

test('lists all fields with allowed values and defaults', () => {
  const fields = listSettingsFields(schema).map((field) => [
    field.path,
    field.allowedValues,
    field.defaultJson ?? (field.isRequired ? 'required' : 'none'),
  ]);
  expect(fields).toEqual([
    ['port', 'integer, from 1 to 9', 'required'],
    ['mode', '"a", "b"', '"a"'],
    ['names', 'list of strings, to 3', 'none'],
    ['key', 'object with file or object with env', 'required'],
    ['parts', 'list', 'required'],
    ['parts[](x).type', '"x"', 'required'],
    ['parts[](x).size', 'number', 'required'],
    ['parts[](y).type', '"y"', 'required'],
    ['parts[](y).bare', 'number', 'required'],
  ]);
});

test('renders the page and lists undocumented fields', () => {
  const page = renderSettingsReference([{ name: 'tool', schema }]);
  expect(page).toContain('## tool');
  expect(page).toContain('| `port` | `integer, from 1 to 9` | required | Port \\| number. |');
  expect(listUndocumentedFields({ name: 'tool', schema })).toEqual(['tool: parts[](y).bare']);
});
